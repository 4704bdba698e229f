package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func get(t *testing.T, p *Platform, query string) (int, page) {
	t.Helper()
	response, err := http.Get("http://" + p.Address() + "/instances" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var answer page
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode, answer
}

func TestList(t *testing.T) {
	p, err := Start(Options{Address: "127.0.0.1:0", Rate: 100})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	p.update(func(items map[string]instance) {
		for i := range 60 {
			id := fmt.Sprintf("i-%02d", i)
			items[id] = instance{ID: id, Zone: []string{"a", "b"}[i%2]}
		}
	})
	Convey("Pages hold the whole list, sorted", t, func() {
		_, first := get(t, p, "")
		So(first.Instances, ShouldHaveLength, pageSize)
		So(*first.Next, ShouldEqual, "p-50")
		_, second := get(t, p, "?page-token="+*first.Next)
		So(second.Instances, ShouldHaveLength, 10)
		So(second.Instances[0].ID, ShouldEqual, "i-50")
		So(second.Next, ShouldBeNil)
	})
	Convey("A zone's list holds its instances only", t, func() {
		_, zone := get(t, p, "?zone=b")
		So(zone.Instances, ShouldHaveLength, 30)
	})
	Convey("An unknown page token is rejected", t, func() {
		status, _ := get(t, p, "?page-token=p-x")
		So(status, ShouldEqual, http.StatusBadRequest)
	})
}

func TestLagAndRate(t *testing.T) {
	p, err := Start(Options{Address: "127.0.0.1:0", Rate: 2, Lag: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	p.update(func(items map[string]instance) { items["i-1"] = instance{ID: "i-1"} })
	Convey("A change is visible after the lag", t, func() {
		So(p.visible(time.Now(), ""), ShouldBeEmpty)
		So(p.visible(time.Now().Add(time.Minute), ""), ShouldHaveLength, 1)
	})
	Convey("Calls beyond the rate get 429 and are counted", t, func() {
		now := time.Now().Add(time.Hour)
		So([]bool{p.admit(now), p.admit(now), p.admit(now)}, ShouldResemble, []bool{true, true, false})
		So(p.Calls(), ShouldEqual, 3)
	})
}
