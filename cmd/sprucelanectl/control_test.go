package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// fakeControl has one configuration, as control does: a change must build on its version.
type fakeControl struct {
	version  string
	document string
	ifMatch  string
	body     string
}

func (f *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/retire/store-1":
		io.WriteString(w, `{"state":"active"}`)
	case r.URL.Path != "/config":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && f.document == "":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		io.WriteString(w, f.document)
	case r.Header.Get("If-Match") != f.version:
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		body, _ := io.ReadAll(r.Body)
		f.ifMatch, f.body = r.Header.Get("If-Match"), string(body)
		f.document = f.body
	}
}

func startControl(t *testing.T, f *fakeControl) string {
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestConfigThroughControl(t *testing.T) {
	fake := &fakeControl{version: "0"}
	address := startControl(t, fake)
	change := file(t, "change.json", `{"generation":7}`)
	Convey("The first configuration builds on 0, which need not be said", t, func() {
		got := call("config", "put", "--control", address, "-o", "json", change)
		So(got.errOut, ShouldBeEmpty)
		So(got.code, ShouldEqual, exitOK)
		So(fake.ifMatch, ShouldEqual, "0")
		So(fake.body, ShouldEqual, `{"generation":7}`)
		var result changeResult
		So(json.Unmarshal([]byte(got.out), &result), ShouldBeNil)
		So(result, ShouldResemble, changeResult{Acknowledged: true, Generation: 7, By: address})
	})
	Convey("The newest is printed as control gives it", t, func() {
		got := call("config", "get", "--control", "127.0.0.1:1,"+address)
		So(got.code, ShouldEqual, exitOK)
		So(got.out, ShouldEqual, "{\"generation\":7}\n")
	})
	Convey("A change on top of another version is rejected", t, func() {
		got := call("config", "patch", "--control", address, "--if-match", "5", change)
		So(got.code, ShouldEqual, exitFailed)
		So(got.errOut, ShouldContainSubstring, "412")
	})
	Convey("Status shows each control process, and fails where none answers", t, func() {
		got := call("status", "--control", address)
		So(got.code, ShouldEqual, exitOK)
		So(got.out, ShouldContainSubstring, "version 7")
		got = call("status", "--control", "127.0.0.1:1")
		So(got.code, ShouldEqual, exitFailed)
		So(got.out, ShouldContainSubstring, "no answer")
	})
	Convey("Retirement tells its state, and what isn't there fails", t, func() {
		got := call("retire", "start", "--control", address, "store-1")
		So(got.code, ShouldEqual, exitOK)
		So(got.out, ShouldEqual, "store-1: active\n")
		got = call("retire", "status", "--control", address, "store-2")
		So(got.code, ShouldEqual, exitFailed)
		So(got.errOut, ShouldContainSubstring, "404")
	})
	Convey("Without an address of control the command line is invalid", t, func() {
		got := call("config", "get")
		So(got.code, ShouldEqual, exitFindings)
		So(got.errOut, ShouldContainSubstring, "--control")
	})
}

const goodConfiguration = `{"generation":7,
"routes":[{"name":"r","hostname":"a.example","path-prefix":"/p/","route-type":"safe","timeout-ms":100,"backend":"b","max-attempts":1}],
"backends":[{"name":"b"}],"tenants":[{"name":"t","api-keys":["k"]}]}`

func TestConfigCheck(t *testing.T) {
	Convey("A valid configuration is said to be", t, func() {
		got := call("config", "check", file(t, "c.json", goodConfiguration))
		So(got.out, ShouldContainSubstring, "valid, generation 7")
		So(got.code, ShouldEqual, exitOK)
	})
	Convey("Each finding has its location", t, func() {
		for _, wrong := range []struct{ from, to, says string }{
			{`"timeout-ms":100`, `"timeout-ms":0`, "timeout-ms"},
			{`"backend":"b"`, `"backend":"x"`, "backend"},
			{`"generation":7`, `"generation":"seven"`, "generation"},
			{`"tenants":[`, `"tenants":[{"name":"u","api-keys":["k"]},`, "api-keys"},
			{`"tenants"`, `tenants`, "c.json"},
		} {
			text := strings.Replace(goodConfiguration, wrong.from, wrong.to, 1)
			got := call("config", "check", file(t, "c.json", text))
			So(got.code, ShouldEqual, exitFindings)
			So(got.out, ShouldContainSubstring, wrong.says)
		}
	})
	Convey("A patch is checked by itself", t, func() {
		patch := file(t, "p.json", `{"generation":9,"delete":{"routes":["r"]}}`)
		So(call("config", "check", "--patch", patch).code, ShouldEqual, exitOK)
		So(call("config", "check", patch).code, ShouldEqual, exitFindings)
	})
	Convey("A file that isn't there can't be checked", t, func() {
		So(call("config", "check", "/no/such").code, ShouldEqual, exitFailed)
	})
}
