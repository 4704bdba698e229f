package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const platform = `{"name":"n3","listen":"127.0.0.4:8080","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946"],
	"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-5","hostPort":"127.1.0.18:8080","lifecycle":"up"}]},
	"settings":{"group_size":1,"zones":["a","b"],"tick":2000000,"allowed":{"conn_idle":9000000000,"max_retry_after":1000000000},
	"services":[{"name":"work-order","objective":1200000000,"give_up":4000000000,"effect":"single_shot","worth":3}],
	"tiers_of_service":[{"name":"utility","rate":10,"depth":10,"price":1}]}}`

const site = `{"consul":{"addr":"127.0.0.1:8500","service":"monitor"},"introspection":{"listen":"127.0.0.1:9000",
	"endpoints":["http://127.0.0.1:9443/introspect"],"client_id":"g","client_secret":"s","scopes":{"work-order":"w"},
	"tools":[{"id":"t","secret":"s","plan":"utility"}]},"knowledge":{"listen":"127.0.0.1:7950","plain":true},"storm":{"retry_share":0.1},"store":{"path":"kept"}}`

func TestPlatformConfiguration(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	require.NoError(t, os.WriteFile(path, []byte(platform), 0o600))
	env := map[string]string{"ROUTER_CONFIG": path, "ROUTER_LISTEN": "127.0.0.9:81"}
	c, err := Load(func(k string) string { return env[k] }, filepath.Join(dir, "none"))
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.9:81", c.Listen)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Seed)
	assert.Equal(t, 1, c.Cores)
	assert.Equal(t, uint64(41), c.KnownServers.Generation)
	assert.Equal(t, 9*time.Second, c.Deployment.IdleTimeout)
	assert.Equal(t, 250*time.Millisecond, c.Deployment.ConnectTimeout)
	assert.Equal(t, time.Second, c.Deployment.MaxRetryAfter) // although the site doesn't state that clients comply with it
	assert.Equal(t, 4*time.Second, c.Deployment.MaxDeadline())
	assert.LessOrEqual(t, c.ClientConns+c.ServerConns, 1024*9/10)
	assert.Nil(t, c.Site.Introspection)
}

// At a reload the file's address of discovery takes precedence over the environment, and changes that need a restart
// are reported.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	env := map[string]string{"ROUTER_CONFIG": path, "ROUTER_LISTEN": "127.0.0.9:81", "ROUTER_DISCOVERY": "127.2.0.1:1"}
	getenv := func(k string) string { return env[k] }
	require.NoError(t, os.WriteFile(path, []byte(platform), 0o600))
	c, err := Load(getenv, filepath.Join(dir, "none"))
	require.NoError(t, err)
	assert.Equal(t, "127.2.0.1:1", c.Discovery)
	moved := strings.NewReplacer("127.2.0.1:8500", "127.2.0.9:8500", `"price":1`, `"price":2`, `"sockets":1024`, `"sockets":256`)
	require.NoError(t, os.WriteFile(path, []byte(moved.Replace(platform)), 0o600))
	next, err := Reload(getenv, filepath.Join(dir, "none"), c)
	require.NoError(t, err)
	assert.Equal(t, "127.2.0.9:8500", next.Discovery)
	assert.Equal(t, "127.0.0.9:81", next.Listen)
	assert.Less(t, next.ServerConns, c.ServerConns)
	assert.Empty(t, c.RestartKeys(next))
	assert.Empty(t, c.RestartKeys(c))
	renumbered := strings.NewReplacer(`"zones":["a","b"]`, `"zones":["b"]`, "127.0.0.4:7946", "127.0.0.5:7946").Replace(platform)
	require.NoError(t, os.WriteFile(path, []byte(renumbered), 0o600))
	next, err = Reload(getenv, filepath.Join(dir, "none"), c)
	require.NoError(t, err)
	assert.Equal(t, []string{"peer_listen", "settings.zones"}, c.RestartKeys(next))
	kept, _ := next.Deployment.WithRestartKeysOf(c.Deployment)
	assert.Equal(t, c.Deployment.Zones, kept.Zones)
}

// A reload rejects an invalid file as a whole, and each error has its key. The file may be empty, truncated at any
// byte, have a deadline or a number of attempts that is not positive, or lack a key that the current file has.
func TestReloadRejectsInvalidFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	getenv := func(k string) string { return map[string]string{"ROUTER_CONFIG": path}[k] }
	full := strings.Replace(platform, `"allowed":{`, `"rules":{"cold_from":0.2,"fall":1000000000},"allowed":{"max_attempts":4,`, 1)
	reload := func(text string, inForce *Config) error {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Reload(getenv, filepath.Join(dir, "none"), inForce)
		return err
	}
	require.NoError(t, os.WriteFile(path, []byte(full), 0o600))
	c, err := Load(getenv, filepath.Join(dir, "none"))
	require.NoError(t, err)
	require.NoError(t, reload(full, c))
	for i := range full {
		assert.Error(t, reload(full[:i], c), "the first %d bytes", i)
	}
	for name, spoil := range map[string][2]string{
		"settings.services[].worth":        {`,"worth":3`, ``},
		"settings.services[].objective":    {`"objective":1200000000,`, ``},
		"settings.rules.fall":              {`,"fall":1000000000`, ``},
		"settings.rules: missing":          {`"rules":{"cold_from":0.2,"fall":1000000000},`, ``},
		"limits.sockets":                   {`,"sockets":1024`, ``},
		"settings.allowed.max_retry_after": {`"max_retry_after":1000000000`, `"max_retry_after":null`},
		"discovery":                        {`"discovery":"127.2.0.1:8500",`, ``},
		"peers: missing":                   {`"peers":["127.3.0.1:7946"],`, ``},
		"known: missing":                   {`"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-5","hostPort":"127.1.0.18:8080","lifecycle":"up"}]},`, ``},
		"settings.zones":                   {`"zones":["a","b"],`, ``},
		"allowed.max_attempts: must":       {`"max_attempts":4`, `"max_attempts":0`},
		"max_attempts: must be above 0":    {`"max_attempts":4`, `"max_attempts":-1`},
		"classes[0].deadline":              {`"give_up":4000000000`, `"give_up":0`},
		"give_up":                          {`"give_up":4000000000`, `"give_up":"4 s"`},
		"services[0].effect":               {`"single_shot"`, `"none"`},
	} {
		text := strings.Replace(full, spoil[0], spoil[1], 1)
		require.NotEqual(t, full, text, name)
		assert.ErrorContains(t, reload(text, c), name)
		assert.NotContains(t, reload(text, c).Error(), "group_size", "a consequence of another error must not be reported")
	}
	assert.NoError(t, reload(strings.Replace(full, `"services":[`, `"services":[{"name":"new","objective":1,"give_up":1,"effect":"free","worth":1,"more":2},`, 1), c),
		"an additional class")
	assert.ErrorContains(t, reload(strings.Replace(full, `"services":[`, `"services":[{"name":"new","objective":1,"give_up":1,"effect":"free"},`, 1), c),
		"settings.services[].worth", "an additional class without a key")
	first, err := Parse([]byte(platform), nil)
	require.NoError(t, err)
	assert.NoError(t, reload(full, first), "additional keys")
	assert.NoError(t, reload(strings.Replace(full, `"zones"`, `"unread":1,"zones"`, 1), c))
}

func TestSiteFile(t *testing.T) {
	c, err := Parse([]byte(platform), []byte(site))
	require.NoError(t, err)
	in := c.Site.Introspection
	assert.Equal(t, []string{"127.0.0.1:9443"}, in.Endpoints)
	assert.Equal(t, "/introspect", in.Path)
	assert.Equal(t, time.Second, in.Timeout)
	assert.LessOrEqual(t, 2*c.ClientConns+c.ServerConns+c.CheckConns, 1024*95/100)
	assert.Equal(t, 300*time.Millisecond, c.Site.Knowledge.Wait)
	assert.Contains(t, c.Summary(), "knowledge=127.0.0.1:7950")
	example, err := os.ReadFile("../../../deploy/sprucelane.example.json")
	require.NoError(t, err)
	_, err = Parse([]byte(platform), example)
	for _, fault := range Errors(err) { // the certificate files of the example don't exist here
		assert.ErrorContains(t, fault, "knowledge.cert_file, key_file: open")
	}
}

func TestErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ from, to, key string }{
		{`"8c1f30d27a5be964"`, `"seed"`, "seed"}, {`"memory_mb":192`, `"memory_mb":3`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":9`, "limits.sockets"}, {`"cores":0.5`, `"cores":-1`, "limits"},
		{`"peer_listen":"127.0.0.4:7946"`, `"peer_listen":"x"`, "peer_listen"},
		{`["127.3.0.1:7946"]`, `["127.3.0.1"]`, "peers[0]"}, {`["127.3.0.1:7946"]`, `["127.3.0.1:1","127.3.0.1:2"]`, "peers"},
		{`"single_shot"`, `"odd"`, "services[0].effect"}, {`"name":"n3"`, `"name":3`, "name"},
		{`"127.0.0.1:8500"`, `"x"`, "consul.addr"}, {`"monitor"`, `""`, "consul.service"},
		{`"127.0.0.1:9000"`, `"x"`, "introspection.listen"}, {`"introspection":{`, `"introspection":{"key_file":"k",`, "cert_file"},
		{`["http://127.0.0.1:9443/introspect"]`, `[]`, "introspection.endpoints"},
		{`"http://127.0.0.1:9443/introspect"`, `"ftp://x:1/"`, "introspection.endpoints[0]"},
		{`9443/introspect"`, `9443/a","https://127.0.0.1:9443/a"`, "introspection.endpoints[1]"},
		{`"client_id":"g"`, `"client_id":"g","ca_file":"none"`, "introspection.ca_file"},
		{`"client_secret":"s"`, `"client_secret":""`, "client_secret"}, {`"scopes":{"work`, `"scopes":{"w`, "introspection.scopes"},
		{`"plan":"utility"`, `"plan":"gold"`, "introspection.tools[0].plan"}, {`"id":"t"`, `"id":""`, "introspection.tools[0].id"},
		{`"client_id":"g"`, `"client_id":"g","peer_listen":"127.0.0.1:7"`, "introspection.peers"},
		{`"name":"n3"`, `"name":""`, "name"}, {`"listen":"127.0.0.1:7950"`, `"listen":"x"`, "knowledge.listen"},
		{`"listen":"127.0.0.1:7950"`, `"peers":[]`, "knowledge.listen"}, {`"plain":true`, `"plain":false`, "knowledge.cert_file"},
		{`"plain":true`, `"plain":true,"peers":["x"]`, "knowledge.peers[0]"}, {`"plain":true`, `"plain":true,"ca_file":"x"`, "knowledge.plain"},
		{`"plain":true`, `"cert_file":"x","key_file":"x","ca_file":"x"`, "knowledge.cert_file"},
		{`"plain":true`, `"plain":true,"wait_ms":-1`, "knowledge.wait_ms"}, {`"plain":true`, `"plain":true,"suspect_share":0.9`, "knowledge.suspect_share"},
		{`"retry_share":0.1`, `"retry_share":2`, "storm.retry_share"}, {`"retry_share":0.1`, `"most_wait_ms":-1`, "storm.most_wait_ms"},
		{`"retry_share":0.1`, `"connections_per_s":-1`, "storm.connections_per_s"},
		{`"path":"kept"`, `"path":""`, "store.path"}, {`"path":"kept"`, `"path":"kept","flush_ms":-1`, "store.flush_ms"},
		{`"path":"kept"`, `"path":"kept","most_mb":1`, "store.most_mb"},
	} {
		p, s := strings.Replace(platform, c.from, c.to, 1), strings.Replace(site, c.from, c.to, 1)
		require.False(t, p == platform && s == site, c.from)
		_, err := Parse([]byte(p), []byte(s))
		assert.ErrorContains(t, err, c.key)
	}
}
