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

// This file reads a deployment from JSON. A deployment's file holds the settings object in the form of a gateway's
// configuration, and beside it the environment that settings don't describe: members, load, links. The code doesn't
// depend on a deployment's name.

// duration is a time.Duration that is written as a string such as "150ms".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if *s = duration(d); err == nil && d < 0 {
		return errors.New("must not be below 0")
	}
	return err
}

// environment is the object "world" of the file. Keys that are left out are 0, or 1 where 0 has no meaning.
type environment struct {
	Gateways int     `json:"gateways"`
	Members  int     `json:"members"`
	Rooms    int     `json:"rooms"` // gateways and members are spread over them in turn
	Cells    int     `json:"cells"` // members are spread over them in turn
	Load     float64 `json:"load"`  // rate of first tries, over the capacity of all members when warm
	Hot      float64 `json:"hot"`   // share of the accounts that send ten times as many requests
	Member   struct {
		Cores      int      `json:"cores"`
		Speed      float64  `json:"speed"`
		SlowPart   float64  `json:"slow_part"` // share of the members that run at three quarters of the speed
		Queue      int      `json:"queue"`
		Work       duration `json:"work"`  // mean work of a request
		Sigma      float64  `json:"sigma"` // standard deviation of its logarithm
		ColdFrom   float64  `json:"cold_from"`
		WarmWithin duration `json:"warm_within"`
		WarmWork   duration `json:"warm_work"`
	} `json:"member"`
	Classes []struct { // one for each of the settings' classes
		Share float64 `json:"share"` // of the requests
		Work  float64 `json:"work"`  // work of a request, over the mean
	} `json:"classes"`
	Plans []struct { // one for each of the settings' plans
		Share    float64 `json:"share"` // of the requests
		Accounts int     `json:"accounts"`
		Spread   int     `json:"spread"` // number of gateways that serve an account
	} `json:"plans"`
	Units     int      `json:"units"`    // most units that a request draws
	BySize    bool     `json:"by_size"`  // a request's work is proportional to its units
	GuessCV   float64  `json:"guess_cv"` // coefficient of variation of the estimates of units
	Retries   int      `json:"retries"`
	Honour    float64  `json:"honour"` // probability that a client waits for as long as a refusal says
	Link      duration `json:"link"`
	Loss      float64  `json:"loss"`
	Discovery duration `json:"discovery"`
	Report    struct {
		Every duration `json:"every"`
		Delay duration `json:"delay"`
		Noise float64  `json:"noise"`
	} `json:"report"`
}

// ReadDeployment returns the scenario of a deployment's file, without faults. An unknown key is an error.
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
		return Scenario{}, fmt.Errorf(
			"deployment: world.classes, world.plans: got %d classes and %d plans, but the settings have %d and %d",
			len(w.Classes), len(w.Plans), len(d.Classes), len(d.Plans))
	}
	s := Scenario{Seed: seed, Gateways: w.Gateways, Members: w.Members, SlowShare: m.SlowPart, Load: w.Load,
		HotShare: w.Hot, Rooms: w.Rooms,
		Cells: w.Cells, Length: length, Link: time.Duration(w.Link), Loss: w.Loss, Discovery: time.Duration(w.Discovery),
		Settings: d.Settings, WorkByUnits: w.BySize, EstimateCV: w.GuessCV, MaxRequestUnits: w.Units, Retries: w.Retries,
		HonourRetryAfter: w.Honour,
		Report:           Report{time.Duration(w.Report.Every), time.Duration(w.Report.Delay), w.Report.Noise},
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

// ClassUse is the load of a class of requests.
type ClassUse struct {
	Share float64 // share of the requests, relative to the sum over all classes
	Work  float64 // work of a request, over the mean
}

// PlanUse is the load of a plan.
type PlanUse struct {
	Share    float64 // share of the requests, relative to the sum over all plans
	Accounts int     // accounts that the load is spread over
}

// Report states how stale and how noisy members' load reports are. With the zero value, reports are current and exact.
type Report struct {
	Every, Delay time.Duration
	Noise        float64 // standard deviation of the logarithm of the random factor on each value
}

// drawByShare draws an index of list, each with a probability in proportion to its share.
func drawByShare[T any](rng *rand.Rand, list []T, share func(T) float64) int {
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
