package emulator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/config"
)

// How is a deployment read from a file? It holds the settings object as a gateway's configuration has it, and beside it
// the environment that settings don't describe: members, load, links. The code doesn't depend on a deployment's name.

// duration is a time.Duration that is written as in "150ms".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if *s = duration(d); err == nil && d < 0 {
		return errors.New("must not be below 0")
	}
	return err
}

// environment is the file's second part. Keys that are left out are 0, or 1 where 0 has no meaning.
type environment struct {
	Gateways int     `json:"gateways"`
	Members  int     `json:"members"`
	Rooms    int     `json:"rooms"` // that both are spread over in turn
	Cells    int     `json:"cells"` // that members are spread over in turn
	Load     float64 `json:"load"`  // first tries, over the capacity of all members when warm
	Hot      float64 `json:"hot"`   // share of the accounts that send ten times as many requests
	Member   struct {
		Cores      int      `json:"cores"`
		Speed      float64  `json:"speed"`
		SlowPart   float64  `json:"slow_part"` // share of them at three quarters of the speed
		Queue      int      `json:"queue"`
		Work       duration `json:"work"`  // mean
		Sigma      float64  `json:"sigma"` // of its logarithm
		ColdFrom   float64  `json:"cold_from"`
		WarmWithin duration `json:"warm_within"`
		WarmWork   duration `json:"warm_work"`
	} `json:"member"`
	Classes []struct { // one for each of the settings' classes
		Share float64 `json:"share"` // of the requests
		Work  float64 `json:"work"`  // times the mean
	} `json:"classes"`
	Plans []struct { // one for each of the settings' plans
		Share    float64 `json:"share"` // of the requests
		Accounts int     `json:"accounts"`
		Spread   int     `json:"spread"` // gateways that serve an account
	} `json:"plans"`
	Units     int      `json:"units"`    // most that a request draws
	BySize    bool     `json:"by_size"`  // work is proportional to them
	GuessCV   float64  `json:"guess_cv"` // coefficient of variation of the estimates of units
	Retries   int      `json:"retries"`
	Honour    float64  `json:"honour"` // share of the clients that wait for as long as a refusal says
	Link      duration `json:"link"`
	Loss      float64  `json:"loss"`
	Discovery duration `json:"discovery"`
	Report    struct {
		Every duration `json:"every"`
		Delay duration `json:"delay"`
		Noise float64  `json:"noise"`
	} `json:"report"`
}

// ReadDeployment gives the scenario of a deployment's file, without troubles. A key that it doesn't know is an error.
func ReadDeployment(text []byte, seed uint64, length time.Duration) (Scenario, error) {
	var file struct {
		Settings json.RawMessage `json:"settings"`
		World    environment     `json:"world"`
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		return Scenario{}, fmt.Errorf("deployment: %w", err)
	}
	if len(file.Settings) == 0 {
		return Scenario{}, errors.New("deployment: settings: missing")
	}
	d, err := config.ParseSettings(file.Settings)
	if err != nil {
		return Scenario{}, fmt.Errorf("deployment: %w", err)
	}
	w, m := file.World, file.World.Member
	if len(w.Classes) != len(d.Classes) || len(w.Plans) != len(d.Plans) {
		return Scenario{}, fmt.Errorf("deployment: world.classes, world.plans: %d and %d, where the settings have %d and %d",
			len(w.Classes), len(w.Plans), len(d.Classes), len(d.Plans))
	}
	s := Scenario{Seed: seed, Gateways: w.Gateways, Members: w.Members, SlowPart: m.SlowPart, Load: w.Load,
		Hot: w.Hot, Rooms: w.Rooms,
		Cells: w.Cells, Length: length, Link: time.Duration(w.Link), Loss: w.Loss, Discovery: time.Duration(w.Discovery),
		Settings: d.Settings, BySize: w.BySize, GuessCV: w.GuessCV, Units: w.Units, Retries: w.Retries, Honour: w.Honour,
		Report: Report{time.Duration(w.Report.Every), time.Duration(w.Report.Delay), w.Report.Noise},
		Spec: MemberSpec{Cores: m.Cores, Speed: cmp.Or(m.Speed, 1), Queue: m.Queue, Work: time.Duration(m.Work),
			Sigma: m.Sigma, ColdFrom: m.ColdFrom, WarmWithin: time.Duration(m.WarmWithin), WarmWork: time.Duration(m.WarmWork)}}
	for _, c := range w.Classes {
		s.Classes = append(s.Classes, ClassUse{c.Share, cmp.Or(c.Work, 1)})
	}
	for _, p := range w.Plans {
		s.Plans = append(s.Plans, PlanUse{p.Share, p.Accounts})
		s.Spread = append(s.Spread, cmp.Or(p.Spread, 4))
		s.Accounts += p.Accounts
	}
	return s, s.Check()
}

// ClassUse is the load of a class.
type ClassUse struct {
	Share float64 // of the requests, over all classes' shares
	Work  float64 // times the mean
}

// PlanUse is the load of a plan.
type PlanUse struct {
	Share    float64 // of the requests, over all plans' shares
	Accounts int     // that the load is spread over
}

// Report is how stale and how noisy members' load reports are. Those of the zero value are current and exact.
type Report struct {
	Every, Delay time.Duration
	Noise        float64 // standard deviation of the logarithm
}

// byShare draws an index, each with a probability in proportion to its share.
func byShare[T any](rng *rand.Rand, list []T, share func(T) float64) int {
	sum := 0.0
	for _, x := range list {
		sum += share(x)
	}
	at := rng.Float64() * sum
	for i, x := range list {
		if at -= share(x); at < 0 {
			return i
		}
	}
	return len(list) - 1
}
