package system

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/controlclient"
)

// earlierDisks are folders of disks that an earlier version left; README.md in the first tells what is on them.
var earlierDisks = []string{"disks-2367f51", "disks-2367f51-compacted"}

// The network prefix and the settings of the cluster that left the disks.
const (
	earlierPrefix    = "127.200.36"
	earlierRetention = 20 * 365 * 24 * time.Hour
)

// TestStartsOnDisksOfEarlierVersion: control and batch processes that start on the disks of an earlier version
// return its configuration byte for byte and the results of its completed batch job. They finish the job that
// was open, and commit a change on top of the configuration's generation.
func TestStartsOnDisksOfEarlierVersion(t *testing.T) {
	for _, disks := range earlierDisks {
		t.Run(disks, func(t *testing.T) { startOnEarlierDisks(t, filepath.Join("testdata", disks)) })
	}
}

// startOnEarlierDisks runs TestStartsOnDisksOfEarlierVersion with the disks in a folder.
func startOnEarlierDisks(t *testing.T, disks string) {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(disks)); err != nil {
		t.Fatal(err)
	}
	decompress(t, folder)
	options := DefaultOptions(built)
	options.Folder, options.ReuseDisks = folder, true
	options.NetworkPrefix, options.JobRetention = earlierPrefix, earlierRetention
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	c := openOnPrefix(ctx, t, options)
	if err := c.StartAll(); err != nil {
		t.Fatal(err)
	}

	recorded, err := os.ReadFile(filepath.Join(folder, "configuration.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range c.FrontMachines() {
		if read := configurationAt(ctx, t, c, m); !bytes.Equal(read, recorded) {
			t.Errorf("the configuration at %s is\n%s\nand was\n%s", m.Name, read, recorded)
		}
	}
	if t.Failed() {
		t.FailNow()
	}
	if err := c.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	checkEarlierJobs(ctx, t, c, filepath.Join(folder, "results.json"))
	if err := c.PutConfiguration(ctx, 7, Configuration(8)); err != nil {
		t.Errorf("a change on top of the recorded generation: %v%s", err, c.logTails())
	}
}

// decompress replaces the files of a cluster's disks that are compressed (.gz).
func decompress(t *testing.T, folder string) {
	t.Helper()
	compressed, err := filepath.Glob(filepath.Join(folder, "*", "*.gz"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range compressed {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		reader, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			t.Fatal(path, err)
		}
		content, err := io.ReadAll(reader)
		if err != nil {
			t.Fatal(path, err)
		}
		if err := os.WriteFile(strings.TrimSuffix(path, ".gz"), content, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
	}
}

// openOnPrefix opens a cluster on addresses that a run of the same test on this machine may still hold.
func openOnPrefix(ctx context.Context, t *testing.T, options Options) (c *Cluster) {
	t.Helper()
	var err error
	until(ctx, t, "the cluster's addresses are free", func() bool {
		c, err = Open(options)
		if err != nil {
			t.Log(err)
		}
		return err == nil
	})
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	return c
}

// configurationAt returns the configuration as the control process on a machine answers it.
func configurationAt(ctx context.Context, t *testing.T, c *Cluster, m Machine) []byte {
	t.Helper()
	alone := controlclient.Client{Addresses: []string{ControlAddress(m)}, Timeout: 20 * time.Second}
	answer, err := alone.Call(ctx, controlclient.Request{Method: http.MethodGet, Path: "/config"})
	if err != nil {
		t.Fatalf("%s returns no configuration: %v%s", m.Name, err, c.logTails())
	}
	return answer.Body
}

// checkEarlierJobs checks the results of the completed batch job against the recorded ones at every gateway,
// and that each item of the open one gets one result.
func checkEarlierJobs(ctx context.Context, t *testing.T, c *Cluster, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var recorded []BatchResult
	if err := json.Unmarshal(text, &recorded); err != nil {
		t.Fatal(err)
	}
	const openItems = 4
	for _, m := range c.FrontMachines() {
		read := jobReader{cluster: c, job: "job-done", items: len(recorded)}.readAll(ctx, t, m)
		if !slices.Equal(read, recorded) {
			t.Errorf("the results at %s are %+v and were %+v", m.Name, read, recorded)
		}
		finished := jobReader{cluster: c, job: "job-open", items: openItems}.readAll(ctx, t, m)
		for i := range openItems {
			isItem := func(r BatchResult) bool { return r.ID == ItemID("job-open", i) }
			if at := slices.IndexFunc(finished, isItem); at < 0 || !finished[at].Complete() {
				t.Errorf("item %d of the open job at %s: %+v", i, m.Name, finished)
			}
		}
	}
	resumed := false
	for _, run := range executionsOf(c, TenantName) {
		resumed = resumed || run.RequestID == ItemID("job-open", 0)
		if slices.ContainsFunc(recorded, func(r BatchResult) bool { return r.ID == run.RequestID }) {
			t.Errorf("%s of the completed job ran again", run.RequestID)
		}
	}
	if !resumed {
		t.Errorf("the open job had its results already: %d executions", len(c.ExecutionLog.Executions()))
	}
}
