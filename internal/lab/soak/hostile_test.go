package soak

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	batchjob "sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/fake/modelserver"
	"sprucelane.example/sprucelane/internal/lab/system"
)

func TestHostileItems(t *testing.T) {
	Convey("Every hostile item is one that must be refused, and every other one isn't", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		parse := func(items ...system.BatchItem) error {
			text, err := json.Marshal(map[string]any{"requests": items})
			So(err, ShouldBeNil)
			_, err = batchjob.ParseSubmission(text)
			return err
		}
		for range 500 {
			item, what := hostileItem(random, "hostile-1")
			if err := parse(system.NewBatchItem("hostile-1", 1), item); !errors.Is(err, batchjob.ErrInvalid) {
				So(what, ShouldEqual, "refused")
			}
		}
		So(parse(system.NewBatchItem("hostile-1", 0), system.NewBatchItem("hostile-1", 1)), ShouldBeNil)
	})
}

func TestCheckOrigin(t *testing.T) {
	jobs := map[string]bool{"job-1": true}
	stream := modelserver.Execution{RequestID: "stream-1", Host: system.StreamHost, Path: system.StreamPath, Tenant: system.TenantName}
	item := modelserver.Execution{RequestID: system.ItemID("job-1", 2), Host: system.BatchHost, Path: system.ItemPath(2),
		Tenant: system.TenantName}
	Convey("What clients sent is accepted", t, func() {
		So(checkOrigin(stream, jobs), ShouldBeEmpty)
		So(checkOrigin(item, jobs), ShouldBeEmpty)
		stream.RequestID = hostilePrefix + "1"
		So(checkOrigin(stream, jobs), ShouldBeEmpty)
	})
	Convey("Another id, item, tenant, path or host, and a key, are problems", t, func() {
		for _, change := range []func(stream, item *modelserver.Execution){
			func(stream, item *modelserver.Execution) {
				stream.RequestID, item.RequestID = smuggledID, system.ItemID("job-2", 2)
			},
			func(stream, item *modelserver.Execution) {
				stream.RequestID, item.RequestID = system.ItemID("hostile-1", 0), system.ItemID("job-1", 3)
			},
			func(stream, item *modelserver.Execution) { stream.Tenant, item.Tenant = system.SecondTenant, "" },
			func(stream, item *modelserver.Execution) { stream.Path, item.Path = "/", system.ItemPath(3) },
			func(stream, item *modelserver.Execution) {
				stream.Host, item.Host = system.BatchHost, system.StreamHost
			},
			func(stream, item *modelserver.Execution) { stream.APIKey, item.APIKey = "key", "key" },
		} {
			changedStream, changedItem := stream, item
			change(&changedStream, &changedItem)
			So(checkOrigin(changedStream, jobs), ShouldNotBeEmpty)
			So(checkOrigin(changedItem, jobs), ShouldNotBeEmpty)
		}
	})
}
