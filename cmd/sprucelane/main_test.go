package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/daemon/cli"
	"sprucelane.example/sprucelane/internal/daemon/logging"
	"sprucelane.example/sprucelane/internal/fake"
)

// The whole program starts with its cached server list, serves both fronts, and on SIGTERM answers the requests that it
// has accepted and exits without an error. On SIGHUP it reloads its configuration. Counters are logged on SIGUSR1 and
// at exit.
func TestServeLifecycle(t *testing.T) {
	lines := fake.Log(t)
	member := fake.New(t, fake.OK("sent"))
	endpoint := fake.New(t, fake.OK(`{"active":true}`))
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer agent.Close()
	host := fmt.Sprintf("127.91.%d.%d", os.Getpid()>>8&127, os.Getpid()&127+1) // an address that only this process uses
	dir := t.TempDir()
	path, site := filepath.Join(dir, "config.json"), filepath.Join(dir, "site.json")
	old := strings.TrimPrefix(agent.URL, "http://")
	text := `{"name":"n0","listen":"` + host + `:8080","discovery":"` + old + `","control":"` + host + `:9090","seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"peer_listen":"` + host + `:7946","peers":["` + host + `:7946"],
		"known":{"generation":4,"reset":true,"instances":[{"instanceId":"a","hostPort":"` + member.Addr + `","lifecycle":"up"}]},
		"settings":{"group_size":1,"tick":2000000,"allowed":{"max_attempts":4,"peers":true},
		"services":[{"name":"work-order","objective":1200000000,"give_up":20000000000,"effect":"single_shot","worth":3}],
		"tiers_of_service":[{"name":"utility","rate":100,"depth":100,"price":1}]}}`
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	require.NoError(t, os.WriteFile(site, []byte(`{"introspection":{"listen":"`+host+`:8443",
		"endpoints":["http://`+endpoint.Addr+`/introspect"],"client_id":"g","client_secret":"s","timeout_ms":5000}}`), 0o600))
	defer http.DefaultClient.CloseIdleConnections()
	ended := make(chan error, 1)
	go func() {
		ended <- serve(func(k string) string {
			return map[string]string{"ROUTER_CONFIG": path, "ROUTER_DISCOVERY": old}[k]
		}, options{siteFile: site})
	}()
	for _, port := range []string{":8080", ":8443"} {
		require.Eventually(t, func() bool {
			assert.Empty(t, ended, "the program has ended")
			resp, err := http.Get("http://" + host + port + "/ready")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}, time.Minute, 5*time.Millisecond)
		resp, body := fake.Ask(t, "http://"+host+port, "work-order", "utility", 20000, "Authorization", "Bearer tok-1")
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.Equal(t, "sent", body)
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGUSR1))
	require.Eventually(t, func() bool { return strings.Contains(lines.String(), "event=counters part=introspection") },
		time.Minute, time.Millisecond)
	// A malformed file changes nothing; a good one moves discovery, though the environment still names the old agent.
	next := fake.New(t, fake.OK("moved"))
	newAgent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprint(w, `{"generation":9,"reset":true,"instances":[{"instanceId":"b","hostPort":"`+next.Addr+`","lifecycle":"up"}]}`)
	}))
	defer newAgent.Close()
	for _, reload := range [][2]string{{"{", "event=reload_failed"},
		{strings.Replace(text, old, strings.TrimPrefix(newAgent.URL, "http://"), 1), "event=reloaded"}} {
		require.NoError(t, os.WriteFile(path, []byte(reload[0]), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		require.Eventually(t, func() bool { return strings.Contains(lines.String(), reload[1]) }, time.Minute, time.Millisecond)
	}
	require.Eventually(t, func() bool {
		_, body := fake.Ask(t, "http://"+host+":8080", "work-order", "utility", 20000)
		return body == "moved"
	}, time.Minute, 5*time.Millisecond)
	// New settings, here another class, apply to requests that arrive after the reload. A malformed file changes nothing.
	newAgentText := strings.Replace(text, old, strings.TrimPrefix(newAgent.URL, "http://"), 1)
	twoClassesText := strings.Replace(newAgentText, `"services":[`, `"services":[{"name":"health-read","objective":1200000000,"give_up":20000000000,"effect":"free","worth":1},`, 1)
	for _, reload := range [][2]string{{twoClassesText, "era=1 classes=2"}, {strings.Replace(newAgentText, `"max_attempts":4`, `"max_attempts":0`, 1), "allowed.max_attempts"},
		{strings.Replace(newAgentText, `"worth":3`, `"worthy":3`, 1), "settings.services[].worth: missing"}} {
		require.NoError(t, os.WriteFile(path, []byte(reload[0]), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		require.Eventually(t, func() bool { return strings.Contains(lines.String(), reload[1]) }, time.Minute, time.Millisecond)
		for _, class := range []string{"health-read", "work-order"} {
			resp, body := fake.Ask(t, "http://"+host+":8080", class, "utility", 20000)
			assert.Equal(t, http.StatusOK, resp.StatusCode, class)
			assert.Equal(t, "moved", body)
		}
	}
	readyResp, err := http.Get("http://" + host + ":9090/ready")
	require.NoError(t, err)
	readyText, err := io.ReadAll(readyResp.Body)
	readyResp.Body.Close()
	require.NoError(t, err)
	assert.Equal(t, "serving recovery=full\n", string(readyText))
	// While drained, the gateway still answers, but closes each connection after the response. After undrain it keeps
	// connections open again.
	for _, step := range []struct {
		call  string
		ready int
		last  bool
	}{{"/drain", http.StatusServiceUnavailable, true}, {"/undrain", http.StatusOK, false}} {
		resp, err := http.Post("http://"+host+":9090"+step.call, "", nil)
		require.NoError(t, err)
		resp.Body.Close()
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		resp, err = http.Get("http://" + host + ":8080/ready")
		require.NoError(t, err)
		resp.Body.Close()
		assert.Equal(t, step.ready, resp.StatusCode)
		assert.Equal(t, step.last, resp.Close)
		_, body := fake.Ask(t, "http://"+host+":8080", "work-order", "utility", 20000)
		assert.Equal(t, "moved", body)
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-ended)
	assert.Regexp(t, `event=stopped part=gateway malformed=0 taken=\d+ open=0 sent=\d+ answered_served=\d+ answered_refused=0`, lines.String())
	assert.Contains(t, lines.String(), "event=stopped part=introspection malformed=0 taken=1 open=0 sent=1 answered_served=1")
	assert.NotContains(t, lines.String(), "tok-1")
}

// execute runs one command of the program with the environment env, and returns its exit code and output.
func execute(env map[string]string, args ...string) (int, string) {
	var out strings.Builder
	root := newRootCommand(func(k string) string { return env[k] })
	root.SetArgs(args)
	root.SetOut(&out)
	return cli.Main(root, func(err error) { fmt.Fprintln(&out, "failed:", err) }), out.String()
}

// Unusable flags, environment or configuration end the program with code 2 and an error that names the flag, the
// variable or the key; check names every error.
func TestErrorsNameTheInvalidInput(t *testing.T) {
	t.Cleanup(func() { logging.Set(os.Stderr, "text", "info") })
	dir := t.TempDir()
	path, site := filepath.Join(dir, "config.json"), filepath.Join(dir, "site.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"listen":"x","discovery":"127.0.0.1:1","seed":"z","limits":{"sockets":3},
		"settings":{"group_size":1}}`), 0o600))
	require.NoError(t, os.WriteFile(site, []byte(`{"consul":{"addr":"y"}}`), 0o600))
	env := map[string]string{"ROUTER_CONFIG": path}
	code, text := execute(env, "check", "--site", site)
	assert.Equal(t, cli.ExitUsage, code)
	for _, key := range []string{path + ": seed:", "limits.sockets:", path + ": settings: classes", "listen:", site + ": consul.addr:",
		site + ": consul.service:"} {
		assert.Contains(t, text, key)
	}
	require.NoError(t, os.WriteFile(site, []byte(`{"consull":{}}`), 0o600))
	_, text = execute(env, "check", "--site", site)
	assert.Contains(t, text, "consull")
	for _, c := range []struct {
		env  string
		args []string
		want string
	}{
		{"", []string{"check", "--sight", "x"}, "--sight"}, {"", []string{"--log-format", "xml"}, "log-format"},
		{"", []string{"--clock-ahead", "1s"}, "clock-ahead: for the laboratory alone"}, {"loud", nil, "log-level"}, {"", []string{"serf"}, "serf"},
	} {
		code, text = execute(map[string]string{"SPRUCELANE_LOG_LEVEL": c.env}, c.args...)
		assert.Contains(t, text, c.want)
		assert.NotZero(t, code, c.want)
	}
	code, text = execute(nil, "serve")
	assert.Equal(t, cli.ExitUsage, code)
	assert.Contains(t, text, "ROUTER_CONFIG")
	code, text = execute(nil, "version")
	assert.Zero(t, code)
	assert.Contains(t, text, "sprucelane ")
}
