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

// reader takes values out of the file and collects what is wrong with them.
type reader struct {
	path     string
	lines    map[string]int // of each key, from 1
	values   *properties.Properties
	findings Findings
}

// Parse reads the text of a settings file; path is named in findings. Unknown keys are skipped, as new ones may appear.
func Parse(path string, text []byte) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	values, err := loader.LoadBytes(text)
	if err != nil {
		return nil, Findings{{Place: path, Text: err.Error()}}
	}
	r := &reader{path: path, lines: keyLines(text), values: values}
	s := r.settings()
	if err := r.findings.OrNil(); err != nil {
		return nil, err
	}
	return s, nil
}

func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	for i, line := range bytes.Split(text, []byte("\n")) {
		if key, _, found := bytes.Cut(line, []byte("=")); found {
			lines[string(bytes.TrimSpace(key))] = i + 1
		}
	}
	return lines
}

func (r *reader) settings() *Settings {
	s := &Settings{
		NodeName:        r.text("node-name", true),
		Role:            r.text("role", true),
		MachineClass:    r.text("machine-class", true),
		Serves:          splitList(r.text("serves", false)),
		IP:              r.ip("ip"),
		Zone:            r.text("zone", true),
		Region:          r.text("region", false),
		Zones:           r.zones(),
		ListenFront:     r.address("listen.front", false),
		ListenReady:     r.address("listen.ready", false),
		ListenControl:   r.address("listen.control", false),
		Seeds:           r.addresses("seeds"),
		Bootstrap:       r.flag("bootstrap", false),
		CountsForQuorum: r.flag("counts-for-quorum", false),
		DataDir:         r.text("data-dir", false),
	}
	s.FirstPort, s.LastPort = r.ports("port-range")
	s.Limits = Limits{
		CPUShare: r.number("limits.cpu-share", 1),
		Cores:    int(r.number("limits.cores", 1)),
		MemoryMB: int(r.number("limits.memory-mb", 256)),
		MaxFDs:   int(r.number("limits.max-fds", 1024)),
		LinkMbps: r.number("limits.link-mbps", 100),
		DiskMB:   int(r.number("limits.disk-mb", 0)),
	}
	s.Tolerance = Tolerance{
		Machines: int(r.number("fault-tolerance.machines", 1)),
		Zones:    int(r.number("fault-tolerance.zones", 0)),
		Regions:  int(r.number("fault-tolerance.regions", 0)),
	}
	s.Bounds = r.bounds()
	s.Cloud = Cloud{
		Address: r.address("cloud.address", false),
		Rate:    r.number("cloud.rate-per-s", 10),
		MaxLag:  r.milliseconds("cloud.max-lag-ms", 1000),
	}
	return s
}

func (r *reader) bounds() Bounds {
	return Bounds{
		SeedLag:            r.seconds("bounds.seed-lag-s", 3),
		ReuseAfter:         r.seconds("bounds.reuse-after-s", 2),
		Liveness:           r.milliseconds("bounds.liveness-ms", 3000),
		Acknowledge:        r.milliseconds("bounds.ack-ms", 4000),
		CatchUp:            r.seconds("bounds.catch-up-s", 5),
		Drain:              r.milliseconds("bounds.drain-ms", 3000),
		Grace:              r.seconds("bounds.grace-s", 8),
		LossSlack:          r.milliseconds("bounds.loss-slack-ms", 200),
		ConfigurationApply: r.milliseconds("bounds.config-apply-ms", 2000),
		RollbackSlack:      r.milliseconds("bounds.rollback-slack-ms", 250),
		SkewMax:            r.milliseconds("bounds.skew-max-ms", 5000),
		Closed:             r.flag("bounds.closed", false),
		Revoke:             r.milliseconds("bounds.revoke-ms", 5000),
		QuotaWindow:        r.seconds("bounds.quota-window-s", 5),
		QuotaOvershoot:     r.number("bounds.quota-overshoot", 0),
		QuotaSlack:         r.number("bounds.quota-slack", 0),
		Recovery:           r.seconds("bounds.recovery-s", 12),
		Pass:               r.milliseconds("bounds.pass_ms", 120),
		Finish:             r.seconds("bounds.finish-s", 10),
		Status:             r.seconds("bounds.status-s", 120),
		Cancel:             r.milliseconds("bounds.cancel-ms", 3000),
		Settle:             r.milliseconds("bounds.settle-ms", 1000),
	}
}

func (r *reader) place(key string) string {
	if line, known := r.lines[key]; known {
		return fmt.Sprintf("%s:%d: %s", r.path, line, key)
	}
	return r.path + ": " + key
}

func (r *reader) text(key string, required bool) string {
	value, found := r.values.Get(key)
	value = strings.TrimSpace(value)
	if required && value == "" {
		if found {
			r.findings.Addf(r.place(key), "is empty")
		} else {
			r.findings.Addf(r.place(key), "is missing")
		}
	}
	return value
}

func (r *reader) ip(key string) string {
	text := r.text(key, true)
	if text != "" && net.ParseIP(text) == nil {
		r.findings.Addf(r.place(key), "%q is no IP address", text)
	}
	return text
}

func (r *reader) zones() map[string]string {
	zones := map[string]string{}
	for _, key := range r.values.Keys() {
		if zone, found := strings.CutPrefix(key, "zones."); found {
			zones[zone] = r.text(key, true)
		}
	}
	return zones
}

func (r *reader) checkAddress(key, text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		r.findings.Addf(r.place(key), "%q is no address of the form ip:port", text)
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if net.ParseIP(host) == nil || err != nil || number == 0 {
		r.findings.Addf(r.place(key), "%q is no address of the form ip:port", text)
		return false
	}
	return true
}

func (r *reader) address(key string, required bool) string {
	text := r.text(key, required)
	if text != "" {
		r.checkAddress(key, text)
	}
	return text
}

func (r *reader) addresses(key string) []string {
	list := splitList(r.text(key, true))
	for _, one := range list {
		r.checkAddress(key, one)
	}
	return list
}

func (r *reader) flag(key string, otherwise bool) bool {
	text := r.text(key, false)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		r.findings.Addf(r.place(key), "%q is neither true nor false", text)
	}
	return value
}

func (r *reader) number(key string, otherwise float64) float64 {
	text := r.text(key, false)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value < 1e15) {
		r.findings.Addf(r.place(key), "%q is no number of 0 or more", text)
	}
	return value
}

func (r *reader) seconds(key string, otherwise float64) time.Duration {
	return time.Duration(r.number(key, otherwise) * float64(time.Second))
}

func (r *reader) milliseconds(key string, otherwise float64) time.Duration {
	return time.Duration(r.number(key, otherwise) * float64(time.Millisecond))
}

func (r *reader) ports(key string) (first, last int) {
	parts := splitList(r.text(key, true))
	if len(parts) == 0 {
		return 0, 0
	}
	if len(parts) == 2 {
		first, _ = strconv.Atoi(parts[0])
		last, _ = strconv.Atoi(parts[1])
	}
	if first <= 0 || last > 65535 || last-first+1 < int(portUses) {
		r.findings.Addf(r.place(key), "must name a first and a last port, %d or more in all", int(portUses))
	}
	return first, last
}
