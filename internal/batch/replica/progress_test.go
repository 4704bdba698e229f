package replica

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/job"
)

func TestProgress(t *testing.T) {
	Convey("Events of unfinished items are restored at a start, up to the first gap", t, func() {
		sim := newStoreSimulation(1, 1, 1, "")
		sim.runUntil(2e9)
		s := sim.stores[0]
		s.idle = true
		content := &job.Content{ID: "job", Tenant: "t", Items: []job.Item{
			{ID: "a", Path: "/"}, {ID: "b", Path: "/"}, {ID: "c", Path: "/"},
		}}
		s.machine.writeAccepted(&acceptance{content: content})
		s.sync()
		So(s.machine.jobs["job"].replicated, ShouldBeTrue)
		events := func(texts ...string) (list [][]byte) {
			for _, text := range texts {
				list = append(list, []byte(text))
			}
			return list
		}
		s.machine.SaveProgress("job", 0, -1, 2, events("one", "two"))
		s.machine.SaveProgress("job", 0, 2, 3, events("three"))
		s.machine.SaveProgress("job", 0, 5, 6, events("a hole"))
		s.machine.SaveProgress("job", 1, -1, 1, events("lost"))
		s.machine.SaveProgress("job", 1, -1, 1, events("again"))
		s.machine.SaveProgress("job", 2, -1, 1, events("listed"))
		So(s.machine.Finish("job", 2, job.Completed, []byte("whole")), ShouldBeTrue)
		s.sync()
		s.kill()
		s.start()
		sim.runUntil(4e9)
		work, ok := s.machine.Work("job")
		So(ok, ShouldBeTrue)
		So(work.Items, ShouldHaveLength, 2)
		text := func(item JobItem) (joined string) {
			for _, at := range item.Events {
				event, err := s.Read(at)
				So(err, ShouldBeNil)
				joined += string(event) + " "
			}
			return joined
		}
		So(work.Items[0].Last, ShouldEqual, 3)
		So(text(work.Items[0]), ShouldEqual, "one two three ")
		So(work.Items[1].Last, ShouldEqual, 1)
		So(text(work.Items[1]), ShouldEqual, "again ")
	})
	Convey("A single store accepts batch jobs by itself if no disk loss has to be tolerated", t, func() {
		sim := newStoreSimulation(2, 1, 1, "")
		sim.runUntil(2e9)
		j := sim.clients.submit("job", 3)
		sim.runUntil(8e9)
		So(j.accepted, ShouldBeTrue)
		So(j.seen, ShouldHaveLength, 3)
		So(sim.failure, ShouldBeNil)
	})
}

// TestProgressRecord compares the encoding of an item's events with the stored format.
func TestProgressRecord(t *testing.T) {
	want := append(job.AppendString([]byte{recordProgress}, "job"), 2, 1, 6, 1, 1, 'x') // item, after, last, events
	if got := encodeProgress("job", 2, -1, 3, [][]byte{{'x'}}); !bytes.Equal(got, want) {
		t.Errorf("encoded as %v, want %v", got, want)
	}
}
