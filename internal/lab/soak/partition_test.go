package soak

import (
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/transport/partition"
	"sprucelane.example/sprucelane/internal/lab/system"
)

func TestPartitionSet(t *testing.T) {
	Convey("The file holds the links of all partitions in force", t, func() {
		path := filepath.Join(t.TempDir(), "cuts")
		p, err := newPartitionSet(path)
		So(err, ShouldBeNil)
		a, b := system.Machine{IP: "1"}, system.Machine{IP: "2"}
		heal, err := p.add(linksBetween([]system.Machine{a}, []system.Machine{a, b}, true))
		So(err, ShouldBeNil)
		_, err = p.add(linksBetween([]system.Machine{a}, []system.Machine{b}, false))
		So(err, ShouldBeNil)
		So(partition.Watch(t.Context(), path).Partitioned(partition.Link{From: "2", To: "1"}), ShouldBeTrue)
		heal()
		cuts := partition.Watch(t.Context(), path)
		So(cuts.Partitioned(partition.Link{From: "2", To: "1"}), ShouldBeFalse)
		So(cuts.Partitioned(partition.Link{From: "1", To: "2"}), ShouldBeTrue)
		So(p.healAll(), ShouldBeNil)
		So(partition.Watch(t.Context(), path).Partitioned(partition.Link{From: "1", To: "2"}), ShouldBeFalse)
	})
}
