package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/daemon/store"
)

// The store commands reject a folder that is open elsewhere, read and compact an intact store, report a damaged record,
// and after a repair print the records that are left.
func TestStoreCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	fs, err := store.OpenDir(dir)
	require.NoError(t, err)
	s, err := store.Open(fs, store.Options{})
	require.NoError(t, err)
	for _, key := range []string{"x1", "x2", "x3"} {
		var b store.Batch
		b.Put([]byte(key), []byte("value"))
		require.NoError(t, s.Write(&b, store.Immediate))
	}
	call := func(args ...string) (string, error) {
		cmd := newRootCommand(func(string) string { return "" })
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(append([]string{"store"}, args...))
		err := cmd.Execute()
		return out.String(), err
	}
	_, err = call("verify", dir)
	assert.ErrorIs(t, err, store.ErrLocked, "the store is already open")
	require.NoError(t, s.Close())
	out, err := call("verify", dir)
	require.NoError(t, err)
	assert.Contains(t, out, "3 records")
	out, err = call("inspect", dir)
	require.NoError(t, err)
	assert.Contains(t, out, "epoch=2 entries=3")
	out, err = call("compact", dir)
	require.NoError(t, err)
	assert.Contains(t, out, "bytes=")
	name := ""
	list, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	require.NoError(t, err)
	for _, f := range list {
		if info, _ := os.Stat(f); info.Size() > 60 {
			name = f
		}
	}
	b, err := os.ReadFile(name)
	require.NoError(t, err)
	b[len(b)-3] ^= 1 // in the last record
	require.NoError(t, os.WriteFile(name, b, 0o600))
	out, err = call("verify", dir)
	assert.ErrorContains(t, err, "damaged: 1 findings")
	assert.Contains(t, out, "BAD "+filepath.Base(name))
	out, err = call("repair", dir)
	require.NoError(t, err)
	assert.Contains(t, out, "given up")
	out, err = call("dump", dir)
	require.NoError(t, err)
	assert.Contains(t, out, `"key":"7831"`)
	assert.NotContains(t, out, `"key":"7833"`)
	_, err = call("verify", filepath.Join(name, "nowhere"))
	assert.Error(t, err)
}
