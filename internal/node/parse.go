package node

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

// fileParser converts the values of a settings file and collects findings for invalid ones. The methods that
// convert a value return the default if the key is absent or empty. For an invalid value they add a finding, and
// the result is not used.
type fileParser struct {
	path     string
	lines    map[string]int // line of each key, from 1
	values   *properties.Properties
	findings Findings
}

// Parse parses the text of a settings file. path is the file's path, for the locations of findings. The error is
// of type Findings. Unknown keys are ignored, as the platform may add keys.
func Parse(path string, text []byte) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	values, err := loader.LoadBytes(text)
	if err != nil {
		return nil, Findings{{Place: path, Text: err.Error()}}
	}
	p := &fileParser{path: path, lines: lineNumbers(text), values: values}
	s := p.settings()
	if err := p.findings.OrNil(); err != nil {
		return nil, err
	}
	return s, nil
}

// lineNumbers returns the line of each key, for findings. The properties package doesn't keep it.
func lineNumbers(text []byte) map[string]int {
	lines := map[string]int{}
	for i, line := range bytes.Split(text, []byte("\n")) {
		if key, _, found := bytes.Cut(line, []byte("=")); found {
			lines[string(bytes.TrimSpace(key))] = i + 1
		}
	}
	return lines
}

// settings converts all settings, which type Settings documents.
func (p *fileParser) settings() *Settings {
	s := &Settings{
		NodeName:        p.text("node-name", true),
		Role:            p.text("role", true),
		MachineClass:    p.text("machine-class", true),
		Serves:          splitList(p.text("serves", false)),
		IP:              p.ip("ip"),
		Zone:            p.text("zone", true),
		Region:          p.text("region", false),
		Zones:           p.zones(),
		ListenFront:     p.address("listen.front"),
		ListenReady:     p.address("listen.ready"),
		ListenControl:   p.address("listen.control"),
		Seeds:           p.addresses("seeds"),
		Bootstrap:       p.flag("bootstrap", false),
		CountsForQuorum: p.flag("counts-for-quorum", false),
		DataDir:         p.text("data-dir", false),
	}
	s.FirstPort, s.LastPort = p.ports("port-range")
	s.Limits = Limits{
		CPUShare: p.nonNegative("limits.cpu-share", 1),
		Cores:    int(p.nonNegative("limits.cores", 1)),
		MemoryMB: int(p.nonNegative("limits.memory-mb", 256)),
		MaxFDs:   int(p.nonNegative("limits.max-fds", 1024)),
		LinkMbps: p.nonNegative("limits.link-mbps", 100),
		DiskMB:   int(p.nonNegative("limits.disk-mb", 0)),
	}
	s.Tolerance = Tolerance{
		Machines: int(p.nonNegative("fault-tolerance.machines", 1)),
		Zones:    int(p.nonNegative("fault-tolerance.zones", 0)),
		Regions:  int(p.nonNegative("fault-tolerance.regions", 0)),
	}
	s.Bounds = p.bounds()
	s.Cloud = Cloud{
		Address: p.address("cloud.address"),
		Rate:    p.nonNegative("cloud.rate-per-s", 10),
		MaxLag:  p.milliseconds("cloud.max-lag-ms", 1000),
	}
	return s
}

// bounds converts the settings with keys bounds.*.
func (p *fileParser) bounds() Bounds {
	return Bounds{
		SeedLag:            p.seconds("bounds.seed-lag-s", 3),
		ReuseAfter:         p.seconds("bounds.reuse-after-s", 2),
		Liveness:           p.milliseconds("bounds.liveness-ms", 3000),
		Acknowledge:        p.milliseconds("bounds.ack-ms", 4000),
		CatchUp:            p.seconds("bounds.catch-up-s", 5),
		Drain:              p.milliseconds("bounds.drain-ms", 3000),
		Grace:              p.seconds("bounds.grace-s", 8),
		LossSlack:          p.milliseconds("bounds.loss-slack-ms", 200),
		ConfigurationApply: p.milliseconds("bounds.config-apply-ms", 2000),
		RollbackSlack:      p.milliseconds("bounds.rollback-slack-ms", 250),
		SkewMax:            p.milliseconds("bounds.skew-max-ms", 5000),
		Closed:             p.flag("bounds.closed", false),
		Revoke:             p.milliseconds("bounds.revoke-ms", 5000),
		QuotaWindow:        p.seconds("bounds.quota-window-s", 5),
		QuotaOvershoot:     p.nonNegative("bounds.quota-overshoot", 0),
		QuotaSlack:         p.nonNegative("bounds.quota-slack", 0),
		Recovery:           p.seconds("bounds.recovery-s", 12),
		Pass:               p.milliseconds("bounds.pass_ms", 120),
		Finish:             p.seconds("bounds.finish-s", 10),
		Status:             p.seconds("bounds.status-s", 120),
		Cancel:             p.milliseconds("bounds.cancel-ms", 3000),
		Settle:             p.milliseconds("bounds.settle-ms", 1000),
	}
}

// location returns the place of a finding about a key: path, line if known, and key.
func (p *fileParser) location(key string) string {
	if line, known := p.lines[key]; known {
		return fmt.Sprintf("%s:%d: %s", p.path, line, key)
	}
	return p.path + ": " + key
}

// text returns a value without surrounding space. A required value must not be empty.
func (p *fileParser) text(key string, required bool) string {
	value, found := p.values.Get(key)
	value = strings.TrimSpace(value)
	if required && value == "" {
		if found {
			p.findings.Addf(p.location(key), "is empty")
		} else {
			p.findings.Addf(p.location(key), "is missing")
		}
	}
	return value
}

// ip parses a required IP address.
func (p *fileParser) ip(key string) string {
	text := p.text(key, true)
	if text != "" && net.ParseIP(text) == nil {
		p.findings.Addf(p.location(key), "%q is no IP address", text)
	}
	return text
}

// zones returns the values of the keys zones.NAME, by zone name.
func (p *fileParser) zones() map[string]string {
	zones := map[string]string{}
	for _, key := range p.values.Keys() {
		if zone, found := strings.CutPrefix(key, "zones."); found {
			zones[zone] = p.text(key, true)
		}
	}
	return zones
}

// checkAddress checks that a text is an address, ip:port.
func (p *fileParser) checkAddress(key, text string) {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		p.findings.Addf(p.location(key), "%q is no address of the form ip:port", text)
		return
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if net.ParseIP(host) == nil || err != nil || number == 0 {
		p.findings.Addf(p.location(key), "%q is no address of the form ip:port", text)
	}
}

// address parses an optional address.
func (p *fileParser) address(key string) string {
	text := p.text(key, false)
	if text != "" {
		p.checkAddress(key, text)
	}
	return text
}

// addresses parses a required list of addresses.
func (p *fileParser) addresses(key string) []string {
	addresses := splitList(p.text(key, true))
	for _, address := range addresses {
		p.checkAddress(key, address)
	}
	return addresses
}

// flag parses a boolean.
func (p *fileParser) flag(key string, defaultValue bool) bool {
	text := p.text(key, false)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		p.findings.Addf(p.location(key), "%q is neither true nor false", text)
	}
	return value
}

// nonNegative parses a number of 0 or more. NaN is invalid, and so are numbers of 1e15 or more.
func (p *fileParser) nonNegative(key string, defaultValue float64) float64 {
	text := p.text(key, false)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value < 1e15) {
		p.findings.Addf(p.location(key), "%q is no number of 0 or more", text)
	}
	return value
}

// seconds parses a duration in seconds.
func (p *fileParser) seconds(key string, defaultValue float64) time.Duration {
	return p.duration(key, defaultValue, time.Second)
}

// milliseconds parses a duration in milliseconds.
func (p *fileParser) milliseconds(key string, defaultValue float64) time.Duration {
	return p.duration(key, defaultValue, time.Millisecond)
}

// maxDuration bounds durations, so that they can be multiplied and added to times without an overflow.
const maxDuration = 100 * 365 * 24 * time.Hour

// duration parses a duration in a unit, of at most maxDuration.
func (p *fileParser) duration(key string, defaultValue float64, unit time.Duration) time.Duration {
	value := p.nonNegative(key, defaultValue)
	if value > float64(maxDuration/unit) {
		p.findings.Addf(p.location(key), "%v is above the limit of %d", value, int64(maxDuration/unit))
		return maxDuration
	}
	return time.Duration(value * float64(unit))
}

// ports parses a range of ports, "FIRST,LAST".
func (p *fileParser) ports(key string) (first, last int) {
	parts := splitList(p.text(key, true))
	if len(parts) == 0 {
		return 0, 0
	}
	if len(parts) == 2 {
		first, _ = strconv.Atoi(parts[0])
		last, _ = strconv.Atoi(parts[1])
	}
	if first <= 0 || last > 65535 || last-first+1 < int(numPorts) {
		p.findings.Addf(p.location(key), "must name a first and a last port, %d or more in all", int(numPorts))
	}
	return first, last
}

// splitList splits a list at commas and drops empty elements.
func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
