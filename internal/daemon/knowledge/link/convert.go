package link

// This file converts between facts and their protocol buffers.

import (
	"math"
	"time"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
)

// Version is the version of the messages of this program, and oldestVersion that of the oldest reader that can use
// them. A newer version may add fields, which older readers skip; a change that they would misread raises
// oldestVersion.
const (
	Version       = 1
	oldestVersion = 1
)

// milliseconds converts a duration; a negative one is 0.
func milliseconds(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

// fromMilliseconds converts milliseconds. A number that is too large becomes negative, and the fact is dropped as
// malformed.
func fromMilliseconds(ms uint64) time.Duration {
	if ms > math.MaxInt64/uint64(time.Millisecond) {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// toWire converts a fact to its message.
func toWire(f *knowledge.Fact) *pb.Fact {
	w := &pb.Fact{Instance: f.Instance, StartedMs: f.StartedMs, Observer: f.Observer.Name, ObserverLife: f.Birth,
		Seq: f.Seq, Hops: uint32(f.Hops), AgeMs: milliseconds(f.Age), StalledMs: milliseconds(f.Stalled),
		Lost: uint32(f.Lost), EjectedMs: milliseconds(f.Ejected), Pace: float32(f.Pace), Answers: float32(f.Answers),
		Room: float32(f.Room), Warmth: float32(f.Warmth), Cold: uint32(f.Cold), DeafMs: milliseconds(f.Deaf),
		BlindMs: milliseconds(f.Blind)}
	if f.Served() {
		answered := milliseconds(f.Answered)
		w.AnsweredMs = &answered
	}
	return w
}

// fromWire converts a fact of a message, and adds the delay of the message to the fact's age.
func fromWire(w *pb.Fact, delay time.Duration) knowledge.Fact {
	f := knowledge.Fact{Life: knowledge.Life{Instance: w.GetInstance(), StartedMs: w.GetStartedMs()},
		Observer: knowledge.Observer{Name: w.GetObserver(), Birth: w.GetObserverLife()}, Seq: w.GetSeq(),
		Hops: int(w.GetHops()), Age: fromMilliseconds(w.GetAgeMs()), Stalled: fromMilliseconds(w.GetStalledMs()),
		Lost: int(w.GetLost()), Ejected: fromMilliseconds(w.GetEjectedMs()), Pace: float64(w.GetPace()),
		Answers: float64(w.GetAnswers()), Answered: -1, Room: float64(w.GetRoom()), Warmth: float64(w.GetWarmth()),
		Cold: int(w.GetCold()), Deaf: fromMilliseconds(w.GetDeafMs()), Blind: fromMilliseconds(w.GetBlindMs())}
	if w.AnsweredMs != nil {
		if f.Answered = fromMilliseconds(w.GetAnsweredMs()); f.Answered < 0 {
			f.Age = -1 // malformed; a negative Answered alone would mean never
		}
	}
	if f.Age >= 0 {
		f.Age += delay
	}
	return f
}

// FromWire converts the facts of a message, and adds the delay of the message to their ages.
func FromWire(p *pb.Picture, delay time.Duration) []knowledge.Fact {
	list := make([]knowledge.Fact, 0, len(p.GetFacts()))
	for _, w := range p.GetFacts() {
		f := fromWire(w, delay)
		if f.Observer.Name == p.GetTeller() { // the sender itself knows best how long it has been deaf and blind
			f.Deaf = max(f.Deaf, fromMilliseconds(p.GetDeafMs()))
			f.Blind = max(f.Blind, fromMilliseconds(p.GetBlindMs())-f.Age)
		}
		list = append(list, f)
	}
	return list
}
