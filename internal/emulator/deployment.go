package emulator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/config"
)

// This file owns deployments that are read from a file: the settings object as a gateway's configuration holds it, and
// beside it the world that the settings don't tell. A deployment has no name in here, and nothing may ask for one.

// span is a duration that a file words as "150ms".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if *s = duration(d); err == nil && d < 0 {
		return errors.New("must not be below 0")
	}
	return err
}

// world is the file's second part. All that is left out is 0, or one where there has to be one.
type environment struct {
	Gateways int     `json:"gateways"`
	Members  int     `json:"members"`
	Rooms    int     `json:"rooms"` // that both stand in by turns
	Cells    int     `json:"cells"` // that members stand in by turns
	Load     float64 `json:"load"`  // first tries, of what all members can do
	Hot      float64 `json:"hot"`   // share of the accounts that ask ten times as much
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
		Spread   int     `json:"spread"` // gateways of an account's set
	} `json:"plans"`
	Units     int      `json:"units"`    // most of a request
	BySize    bool     `json:"by_size"`  // work grows with them
	GuessCV   float64  `json:"guess_cv"` // spread of what requests say round what they draw
	Retries   int      `json:"retries"`
	Honour    float64  `json:"honour"` // share of the clients that heed what refusals name
	Link      duration `json:"link"`
	Loss      float64  `json:"loss"`
	Discovery duration `json:"discovery"`
	Report    struct {
		Every duration `json:"every"`
		Delay duration `json:"delay"`
		Noise float64  `json:"noise"`
	} `json:"report"`
}

// ReadDeployment gives the scenario of a deployment's file, with no troubles. Keys that it doesn't know are faults.
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
	s := Scenario{Seed: seed, Gateways: w.Gateways, Members: w.Members, SlowPart: m.SlowPart, Load: w.Load, Hot: w.Hot, Rooms: w.Rooms,
		Cells: w.Cells, Length: length, Link: time.Duration(w.Link), Loss: w.Loss, Discovery: time.Duration(w.Discovery),
		Settings: d.Settings, BySize: w.BySize, GuessCV: w.GuessCV, Units: w.Units, Retries: w.Retries, Honour: w.Honour,
		Report: Report{time.Duration(w.Report.Every), time.Duration(w.Report.Delay), w.Report.Noise},
		Spec: MemberSpec{Cores: m.Cores, Speed: cmp.Or(m.Speed, 1), Queue: m.Queue, Work: time.Duration(m.Work), Sigma: m.Sigma,
			ColdFrom: m.ColdFrom, WarmWithin: time.Duration(m.WarmWithin), WarmWork: time.Duration(m.WarmWork)}}
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

// ClassUse is how much a class is asked for.
type ClassUse struct {
	Share float64 // of the requests, over all classes' shares
	Work  float64 // times the mean
}

// PlanUse is how much a plan's accounts ask.
type PlanUse struct {
	Share    float64 // of the requests, over all plans' shares
	Accounts int     // that it is spread over
}

// Report is how old and how noisy members' load reports are; 0: they are true.
type Report struct {
	Every, Delay time.Duration
	Noise        float64 // of the logarithm
}

// byShare draws a place by the shares that stand there.
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
