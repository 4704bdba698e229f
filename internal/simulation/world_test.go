package simulation

import (
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// pingPong runs two machines that answer each other over a bad link, and returns what happened.
func pingPong(seed uint64) []string {
	s := New(seed)
	s.Links.Default = Link{Delay: time.Millisecond, Jitter: 5 * time.Millisecond, Loss: 0.05}
	var happened []string
	var hit func(from, to string, round int)
	hit = func(from, to string, round int) {
		s.Send(from, to, round, func() {
			happened = append(happened, fmt.Sprint(s.Elapsed(), to, round))
			hit(to, from, round+1)
		})
	}
	for start := range 5 {
		hit("a", "b", start*1000)
	}
	s.Run(time.Second)
	return happened
}

func TestSimulation(t *testing.T) {
	Convey("The same seed gives the same run, another seed another one", t, func() {
		So(pingPong(1), ShouldResemble, pingPong(1))
		So(pingPong(1), ShouldNotResemble, pingPong(2))
	})

	Convey("Given a world", t, func() {
		s := New(1)
		var order []string
		note := func(text string) func() { return func() { order = append(order, text) } }

		Convey("events run by time, then by making", func() {
			s.After(2*time.Second, note("c"))
			s.After(time.Second, note("a"))
			s.After(time.Second, note("b"))
			s.After(time.Second, note("canceled")).Cancel()
			s.Run(2 * time.Second)
			So(order, ShouldResemble, []string{"a", "b", "c"})
			So(s.Elapsed(), ShouldEqual, 2*time.Second)
		})

		Convey("a stopped machine runs no timers of its old life and gets no messages", func() {
			s.AfterOn("m", time.Second, note("old timer"))
			s.Send("x", "m", nil, note("lost"))
			s.Stop("m")
			s.Run(100 * time.Millisecond)
			s.Start("m")
			s.Send("x", "m", nil, note("message"))
			s.AfterOn("m", time.Second, note("timer"))
			s.Run(5 * time.Second)
			So(order, ShouldResemble, []string{"message", "timer"})
		})

		Convey("what comes to a frozen machine waits in order", func() {
			s.Pause("m")
			s.AfterOn("m", time.Second, note("timer"))
			s.Send("x", "m", nil, note("message"))
			s.Run(5 * time.Second)
			So(order, ShouldBeEmpty)
			s.Resume("m")
			s.Run(0)
			So(order, ShouldResemble, []string{"message", "timer"})
		})

		Convey("a cut holds in its direction only", func() {
			s.Links.Partition("a", "b")
			So(s.Send("a", "b", nil, note("there")), ShouldBeFalse)
			So(s.Send("b", "a", nil, note("back")), ShouldBeTrue)
			s.Links.Heal("a", "b")
			So(s.Send("a", "b", nil, note("again")), ShouldBeTrue)
			s.Links.PartitionGroups([]string{"a"}, []string{"b", "c"})
			So(s.Links.Partitioned("c", "a"), ShouldBeTrue)
			So(s.Links.Partitioned("b", "c"), ShouldBeFalse)
		})

		Convey("an ordered link lets no message overtake", func() {
			s.Links.Default = Link{Jitter: time.Second, Ordered: true}
			var got []int
			for i := range 50 {
				s.Send("a", "b", i, func() { got = append(got, i) })
			}
			s.Run(2 * time.Second)
			for i := range 50 {
				if got[i] != i {
					t.Fatal(got)
				}
			}
		})
	})
}

func TestDisk(t *testing.T) {
	Convey("Given a disk", t, func() {
		d := NewDisk(NewRand(1))
		file, err := d.Create("a")
		So(err, ShouldBeNil)
		_, err = file.Write([]byte("synced"))
		So(err, ShouldBeNil)
		So(file.Sync(), ShouldBeNil)

		Convey("what is synced outlives a loss of power, what isn't may be kept, lost or torn", func() {
			seen := make(map[string]bool)
			for range 300 {
				file, err := d.Open("a")
				if err != nil {
					t.Fatal(err)
				}
				_, _ = file.Write([]byte("-one"))
				d.LosePower()
				data, err := d.ReadAll("a")
				if err != nil || len(data) < 6 || string(data[:6]) != "synced" {
					t.Fatalf("%q %v", data, err)
				}
				seen[string(data)] = true
				if _, err := file.Write(nil); err != ErrPowerLost {
					t.Fatal(err)
				}
				file, _ = d.Open("a")
				_ = file.Truncate(6)
				_ = file.Sync()
			}
			So(seen["synced"], ShouldBeTrue)
			So(seen["synced-one"], ShouldBeTrue)
			So(len(seen), ShouldBeGreaterThan, 3)
		})

		Convey("names last once the folder is synced", func() {
			So(d.Rename("a", "b"), ShouldBeNil)
			So(d.SyncDir(), ShouldBeNil)
			lost, kept := false, false
			for range 100 {
				_ = d.Remove("b")
				d.LosePower()
				names, _ := d.List()
				if len(names) == 1 {
					kept = true
					continue
				}
				lost = true
				created, _ := d.Create("b")
				_ = created.Sync()
			}
			So(kept && lost, ShouldBeTrue)
		})

		Convey("a kill keeps all that was written and ends open files", func() {
			_, _ = file.Write([]byte(" and more"))
			d.Kill()
			data, err := d.ReadAll("a")
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, "synced and more")
			_, err = file.Write([]byte("x"))
			So(err, ShouldEqual, ErrPowerLost)
		})

		Convey("an open file is read at an offset", func() {
			data := make([]byte, 4)
			count, err := file.ReadAt(data, 2)
			So(err, ShouldBeNil)
			So(string(data[:count]), ShouldEqual, "nced")
			count, err = file.ReadAt(data, 4)
			So(err, ShouldEqual, io.EOF)
			So(string(data[:count]), ShouldEqual, "ed")
			_, err = file.ReadAt(data, 6)
			So(err, ShouldEqual, io.EOF)
			d.Kill()
			_, err = file.ReadAt(data, 0)
			So(err, ShouldEqual, ErrPowerLost)
		})

		Convey("what is on the platter after a loss of power stays until the next sync", func() {
			d.LosePower()
			for range 50 {
				file, err := d.Open("a")
				So(err, ShouldBeNil)
				So(file.Truncate(0), ShouldBeNil)
				_, err = file.Write([]byte("others"))
				So(err, ShouldBeNil)
				d.LosePower()
				data, err := d.ReadAll("a")
				So(err, ShouldBeNil)
				if string(data) == "synced" {
					return
				}
				again, _ := d.Open("a")
				_ = again.Truncate(0)
				_, _ = again.Write([]byte("synced"))
				So(again.Sync(), ShouldBeNil)
			}
			t.Fatal("the loss of both changes never came")
		})

		Convey("a bit flips after a loss of power, too", func() {
			d.LosePower()
			So(d.FlipBit("a", 0, 0), ShouldBeTrue)
			data, err := d.ReadAll("a")
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, "rynced")
		})

		Convey("a full disk takes what fits", func() {
			d.SetCapacity(10)
			count, err := file.Write([]byte("123456"))
			So(count, ShouldEqual, 4)
			So(err.Error(), ShouldEqual, "no space left on device")
		})

		Convey("the power goes in the middle of a chosen operation", func() {
			d.FailAt(2)
			_, err := file.Write([]byte("1"))
			So(err, ShouldBeNil)
			So(file.Sync(), ShouldEqual, ErrPowerLost)
			_, err = d.ReadAll("a")
			So(err, ShouldEqual, ErrPowerLost)
			d.LosePower()
			_, err = d.ReadAll("a")
			So(err, ShouldBeNil)
		})

		Convey("operations take time", func() {
			d.TakeLatency()
			d.AddLatency(time.Second)
			So(file.Sync(), ShouldBeNil)
			So(d.TakeLatency(), ShouldEqual, time.Second+DefaultSyncTime)
			So(d.TakeLatency(), ShouldEqual, 0)
		})
	})
}
