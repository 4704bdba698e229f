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

// fakeControl is a control process with one configuration. Like a real one, it rejects a change that doesn't build on
// its version.
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
	Convey("The first configuration builds on version 0 without --if-match", t, func() {
		got := call("config", "put", "--control", address, "-o", "json", change)
		So(got.errOut, ShouldBeEmpty)
		So(got.code, ShouldEqual, exitOK)
		So(fake.ifMatch, ShouldEqual, "0")
		So(fake.body, ShouldEqual, `{"generation":7}`)
		var result changeResult
		So(json.Unmarshal([]byte(got.out), &result), ShouldBeNil)
		So(result, ShouldResemble, changeResult{Acknowledged: true, Generation: 7, By: address})
	})
	Convey("The newest configuration is printed as control returns it", t, func() {
		got := call("config", "get", "--control", "127.0.0.1:1,"+address)
		So(got.code, ShouldEqual, exitOK)
		So(got.out, ShouldEqual, "{\"generation\":7}\n")
	})
	Convey("A change on top of another version is rejected", t, func() {
		got := call("config", "patch", "--control", address, "--if-match", "5", change)
		So(got.code, ShouldEqual, exitFailed)
		So(got.errOut, ShouldContainSubstring, "412")
	})
	Convey("Status shows each control process, and fails if none answers", t, func() {
		got := call("status", "--control", address)
		So(got.code, ShouldEqual, exitOK)
		So(got.out, ShouldContainSubstring, "version 7")
		got = call("status", "--control", "127.0.0.1:1")
		So(got.code, ShouldEqual, exitFailed)
		So(got.out, ShouldContainSubstring, "no answer")
	})
	Convey("The state of a retirement is printed, and an unknown machine is an error", t, func() {
		got := call("retire", "start", "--control", address, "store-1")
		So(got.code, ShouldEqual, exitOK)
		So(got.out, ShouldEqual, "store-1: active\n")
		got = call("retire", "status", "--control", address, "store-2")
		So(got.code, ShouldEqual, exitFailed)
		So(got.errOut, ShouldContainSubstring, "404")
	})
	Convey("Without the address of a control process the command line is invalid", t, func() {
		got := call("config", "get")
		So(got.code, ShouldEqual, exitFindings)
		So(got.errOut, ShouldContainSubstring, "--control")
	})
}

const validConfiguration = `{"generation":7,
"routes":[{"name":"r","hostname":"a.example","path-prefix":"/p/","route-type":"safe","timeout-ms":100,"backend":"b","max-attempts":1}],
"backends":[{"name":"b"}],"tenants":[{"name":"t","api-keys":["k"]}]}`

func TestConfigCheck(t *testing.T) {
	Convey("A valid configuration is reported as valid", t, func() {
		got := call("config", "check", file(t, "c.json", validConfiguration))
		So(got.out, ShouldContainSubstring, "valid, generation 7")
		So(got.code, ShouldEqual, exitOK)
	})
	Convey("Each finding has its location", t, func() {
		for _, tc := range []struct{ from, to, want string }{
			{`"timeout-ms":100`, `"timeout-ms":0`, "timeout-ms"},
			{`"backend":"b"`, `"backend":"x"`, "backend"},
			{`"generation":7`, `"generation":"seven"`, "generation"},
			{`"tenants":[`, `"tenants":[{"name":"u","api-keys":["k"]},`, "api-keys"},
			{`"tenants"`, `tenants`, "c.json"},
		} {
			text := strings.Replace(validConfiguration, tc.from, tc.to, 1)
			got := call("config", "check", file(t, "c.json", text))
			So(got.code, ShouldEqual, exitFindings)
			So(got.out, ShouldContainSubstring, tc.want)
		}
	})
	Convey("A patch is checked without the configuration that it changes", t, func() {
		patch := file(t, "p.json", `{"generation":9,"delete":{"routes":["r"]}}`)
		So(call("config", "check", "--patch", patch).code, ShouldEqual, exitOK)
		So(call("config", "check", patch).code, ShouldEqual, exitFindings)
	})
	Convey("A missing file is an error", t, func() {
		So(call("config", "check", "/no/such").code, ShouldEqual, exitFailed)
	})
}
