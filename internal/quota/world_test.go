package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

const (
	second      = time.Second
	millisecond = time.Millisecond
	usualWait   = 40 * millisecond  // that a request waits for a token
	confirmFor  = 800 * millisecond // a head leads after the last proof of its epoch
	startAfter  = second            // a successor starts so long after its view was decided
	configApply = 2 * second        // a gateway that was in touch for so long has the newest configuration
	returnShare = 0.03              // of admitted requests: their token goes back
	chargeShare = 0.003             // of requests: sent once more after a server may have run them
)

var testRules = Rules{Window: 5 * second, Overshoot: 0.1, Slack: 20}

// world is gateways, control machines and clients in virtual time.
type world struct {
	random   *rand.Rand
	now      time.Duration
	events   eventHeap
	ordinal  int
	snapshot *configuration.Snapshot
	limits   map[string][]*limitSince
	gateways []*simGateway
	controls []*simControl
	lead     int // of controls; -1: none
	loss     float64
	slow     float64 // share of messages that take long
	usage    map[string]float64
	hot      map[string]float64
	audit    auditor
	plant    plant
	counts   map[string]*counts
	messages int
	sizes    int

	recorded     []string // nodes that may be lent to, as agreed
	floors       map[string]int64
	recordOwner  *simControl
	recordTerm   int  // counts the owners: a change of an earlier time of the same owner has no effect
	recording    bool // a change of the record is on its way
	calm         bool // no more troubles
	maxWait      time.Duration
	hollow       bool          // only the rule's windows are checked
	spent        time.Duration // in the allocator
	steadyLimits bool
	returns      bool // tokens go back, and requests are sent once more
	troubles     int
	dropped      []configuration.Tenant // that the configuration in force doesn't have
	stallNext    bool                   // the lead stands still with its next request
}

// limitSince is a limit that was acknowledged. It binds alone once every gateway has been in touch for long enough after that.
type limitSince struct {
	at          time.Duration
	rate, burst float64
	seen        map[*simGateway]bool
	boundAt     time.Duration // 0: not yet
}

type counts struct{ offered, served, refused, owed, owedRefused int }

func newWorld(seed uint64, gateways int, tenants []configuration.Tenant) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 77)), limits: map[string][]*limitSince{}, usage: map[string]float64{},
		hot: map[string]float64{}, counts: map[string]*counts{}, lead: -1, maxWait: usualWait,
	}
	w.audit = newAuditor(w)
	for i := range tenants {
		w.usage[tenants[i].Name] = tenants[i].RatePerSec / 1.6
		w.counts[tenants[i].Name] = &counts{}
	}
	w.configure(tenants)
	for range 3 {
		w.controls = append(w.controls, w.newControl())
	}
	for range gateways {
		w.addGateway()
	}
	return w
}

// configure makes a configuration current; processes take it in a little later.
func (w *world) configure(tenants []configuration.Tenant) {
	index := uint64(1)
	if w.snapshot != nil {
		index = w.snapshot.Index + 1
	}
	w.snapshot = configuration.NewSnapshot(configuration.Document{Tenants: tenants}, index)
	for i := range tenants {
		tenant := &tenants[i]
		w.limits[tenant.Name] = append(w.limits[tenant.Name], &limitSince{
			at: w.now, rate: tenant.RatePerSec, burst: tenant.Burst, seen: map[*simGateway]bool{},
		})
	}
	snapshot := w.snapshot
	for _, control := range w.controls {
		w.at(max(control.frozenUntil, control.cut.until), func() { control.configure(snapshot) })
	}
	for _, g := range w.gateways {
		life := g.life
		w.at(w.now+w.spread(400*millisecond), func() { g.takeSnapshot(life, snapshot) })
	}
}

func (w *world) spread(most time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(most))
}

// traffic has a tenant's clients send: gateways get uneven shares, and the whole swings.
func (w *world) traffic(name string) {
	rate := w.usage[name] * max(1, w.hot[name])
	rate *= 1 + 0.35*math.Sin(2*math.Pi*w.now.Seconds()/11)
	all := 0.0
	for _, g := range w.gateways {
		all += g.share
	}
	pick := w.random.Float64() * all
	for _, g := range w.gateways {
		if pick -= g.share; pick < 0 {
			g.request(name)
			break
		}
	}
	w.at(w.now+time.Duration(w.random.ExpFloat64()/rate*float64(second)), func() { w.traffic(name) })
}

// sortedNames gives the keys in order, so that a seed replays.
func sortedNames[V any](m map[string]V) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, name := range slices.Sorted(maps.Keys(m)) {
			if !yield(name) {
				return
			}
		}
	}
}
