package link

import (
	"math"
	"time"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
	"sprucelane.example/sprucelane/internal/knowledge"
)

// Version is the form of messages that this program speaks, and oldest the oldest reader that understands it. A newer
// form may add fields, which older readers skip; one that they would misread raises oldest.
const (
	Version       = 1
	oldestVersion = 1
)

func milliseconds(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

// duration reads milliseconds; what is too long to be one is below 0, which no fact survives.
func fromMilliseconds(ms uint64) time.Duration {
	if ms > math.MaxInt64/uint64(time.Millisecond) {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

func toWire(f *knowledge.Fact) *pb.Fact {
	w := &pb.Fact{Instance: f.Instance, StartedMs: f.StartedMs, Observer: f.Observer.Name, ObserverLife: f.Birth, Seq: f.Seq,
		Hops: uint32(f.Hops), AgeMs: milliseconds(f.Age), StalledMs: milliseconds(f.Stalled), Lost: uint32(f.Lost), EjectedMs: milliseconds(f.Ejected),
		Pace: float32(f.Pace), Answers: float32(f.Answers), Room: float32(f.Room), Warmth: float32(f.Warmth),
		Cold: uint32(f.Cold), DeafMs: milliseconds(f.Deaf), BlindMs: milliseconds(f.Blind)}
	if f.Served() {
		answered := milliseconds(f.Answered)
		w.AnsweredMs = &answered
	}
	return w
}

// fromWire reads a fact as a message of this age holds it. The observer's blindness is at least the teller's own where
// it is the teller's word.
func fromWire(w *pb.Fact, late time.Duration) knowledge.Fact {
	f := knowledge.Fact{Life: knowledge.Life{Instance: w.GetInstance(), StartedMs: w.GetStartedMs()},
		Observer: knowledge.Observer{Name: w.GetObserver(), Birth: w.GetObserverLife()}, Seq: w.GetSeq(), Hops: int(w.GetHops()),
		Age: fromMilliseconds(w.GetAgeMs()), Stalled: fromMilliseconds(w.GetStalledMs()), Lost: int(w.GetLost()),
		Ejected: fromMilliseconds(w.GetEjectedMs()), Pace: float64(w.GetPace()), Answers: float64(w.GetAnswers()), Answered: -1,
		Room: float64(w.GetRoom()), Warmth: float64(w.GetWarmth()), Cold: int(w.GetCold()), Deaf: fromMilliseconds(w.GetDeafMs()),
		Blind: fromMilliseconds(w.GetBlindMs())}
	if w.AnsweredMs != nil {
		if f.Answered = fromMilliseconds(w.GetAnsweredMs()); f.Answered < 0 {
			f.Age = -1 // malformed, which is not the same as never
		}
	}
	if f.Age >= 0 {
		f.Age += late
	}
	return f
}

// FromWire reads the facts of a picture that came late by so much.
func FromWire(p *pb.Picture, late time.Duration) []knowledge.Fact {
	list := make([]knowledge.Fact, 0, len(p.GetFacts()))
	for _, w := range p.GetFacts() {
		f := fromWire(w, late)
		if f.Observer.Name == p.GetTeller() { // of its own word a teller knows best how it was itself
			f.Deaf, f.Blind = max(f.Deaf, fromMilliseconds(p.GetDeafMs())), max(f.Blind, fromMilliseconds(p.GetBlindMs())-f.Age)
		}
		list = append(list, f)
	}
	return list
}
