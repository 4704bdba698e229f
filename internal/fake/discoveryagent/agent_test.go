package discoveryagent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
)

func get(t *testing.T, a *Agent, gateway int, query string) (l discovery.List) {
	client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + a.Addr(gateway) + "/v1/endpoints" + query)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&l))
	return l
}

// The list, then a watch that ends with what changed, told late and to each gateway at its own address of the member.
func TestListAndWatch(t *testing.T) {
	a, err := Start(2, 50*time.Millisecond, nil)
	require.NoError(t, err)
	t.Cleanup(a.Stop)
	a.Set(discovery.Instance{ID: "m", Lifecycle: "up"}, []string{"here:1", "there:1"})
	l := get(t, a, 1, "")
	require.Len(t, l.Instances, 1)
	assert.True(t, l.Reset)
	assert.Equal(t, "there:1", l.Instances[0].Addr)
	assert.Empty(t, get(t, a, 1, fmt.Sprintf("?after=%d&wait_ms=10", l.Generation)).Instances)
	assert.Zero(t, a.Told(1, "m"))
	changed := time.Now()
	a.Lifecycle("m", "draining")
	next := get(t, a, 1, fmt.Sprintf("?after=%d&wait_ms=60000", l.Generation))
	require.Len(t, next.Instances, 1)
	assert.Equal(t, "draining", next.Instances[0].Lifecycle)
	assert.GreaterOrEqual(t, a.Told(1, "m").Sub(changed), 50*time.Millisecond)
	assert.Zero(t, a.Told(0, "m"))
}

func TestSilence(t *testing.T) {
	a, err := Start(1, 0, nil)
	require.NoError(t, err)
	t.Cleanup(a.Stop)
	a.Set(discovery.Instance{ID: "m", Lifecycle: "up"}, []string{"here:1"})
	a.Silence(0, true)
	client := &http.Client{Timeout: 100 * time.Millisecond}
	_, err = client.Get("http://" + a.Addr(0) + "/v1/endpoints")
	assert.Error(t, err)
	a.Silence(0, false)
	assert.Len(t, get(t, a, 0, "").Instances, 1)
}
