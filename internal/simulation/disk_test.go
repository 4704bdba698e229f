package simulation

import (
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDisk(t *testing.T) {
	Convey("Given a disk", t, func() {
		d := NewDisk(NewRand(1))
		file, err := d.Create("a")
		So(err, ShouldBeNil)
		_, err = file.Write([]byte("synced"))
		So(err, ShouldBeNil)
		So(file.Sync(), ShouldBeNil)

		Convey("synced data survives a loss of power, unsynced data may be kept, lost or torn", func() {
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

		Convey("names survive a loss of power once the directory is synced", func() {
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

		Convey("a kill keeps all written data, and open files fail", func() {
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

		Convey("contents that are left after a loss of power are durable until the next sync", func() {
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
			t.Fatal("no loss of power lost both the truncation and the write")
		})

		Convey("a bit can be flipped after a loss of power, too", func() {
			d.LosePower()
			So(d.FlipBit("a", 0, 0), ShouldBeTrue)
			data, err := d.ReadAll("a")
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, "rynced")
		})

		Convey("a full disk writes what fits", func() {
			d.SetCapacity(10)
			count, err := file.Write([]byte("123456"))
			So(count, ShouldEqual, 4)
			So(err.Error(), ShouldEqual, "no space left on device")
		})

		Convey("power is lost within a chosen operation", func() {
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

		Convey("operations have latency", func() {
			d.TakeLatency()
			d.AddLatency(time.Second)
			So(file.Sync(), ShouldBeNil)
			So(d.TakeLatency(), ShouldEqual, time.Second+DefaultSyncTime)
			So(d.TakeLatency(), ShouldEqual, 0)
		})
	})
}
