// Command store measures internal/daemon/store beside bbolt and Pebble, doing the same work in one run. It is a module of its own, so
// that the program depends on neither; it must never be built into it.
package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"

	"sprucelane.example/sprucelane/internal/daemon/store"
)

// engine is a store that is measured: a put that is durable when it gives back, or only buffered.
type engine struct {
	name  string
	put   func(key, value []byte, durable bool) error
	close func() error
}

func ours(dir string) (engine, error) {
	fs, err := store.Folder(dir)
	if err != nil {
		return engine{}, err
	}
	s, err := store.Open(fs, store.Options{})
	if err != nil {
		return engine{}, err
	}
	return engine{"store", func(k, v []byte, durable bool) error {
		var b store.Batch
		b.Put(k, v)
		if durable {
			return s.Write(&b, store.Grouped)
		}
		return s.Write(&b, store.Buffered)
	}, s.Close}, nil
}

func bolt(dir string) (engine, error) {
	db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, nil)
	if err != nil {
		return engine{}, err
	}
	name := []byte("use")
	if err := db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucketIfNotExists(name); return err }); err != nil {
		return engine{}, err
	}
	return engine{"bbolt", func(k, v []byte, durable bool) error {
		return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(name).Put(k, v) }) // it groups writers, too
	}, db.Close}, nil
}

type silent struct{}

func (silent) Infof(string, ...any)  {}
func (silent) Errorf(string, ...any) {}
func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func pebbles(dir string) (engine, error) {
	db, err := pebble.Open(dir, &pebble.Options{Logger: silent{}})
	if err != nil {
		return engine{}, err
	}
	return engine{"pebble", func(k, v []byte, durable bool) error {
		if durable {
			return db.Set(k, v, pebble.Sync)
		}
		return db.Set(k, v, pebble.NoSync)
	}, db.Close}, nil
}

const (
	keys  = 20000
	value = 48 // bytes: an account's use
)

// run lets writers put for so long, and gives writes a second and how long they took.
func run(e engine, writers int, durable bool, length time.Duration) (perS float64, took []time.Duration, err error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for w := range writers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), 1))
			var mine []time.Duration
			v := make([]byte, value)
			for time.Since(began) < length {
				k := binary.BigEndian.AppendUint64(nil, rng.Uint64N(keys))
				binary.BigEndian.PutUint64(v, rng.Uint64())
				at := time.Now()
				if failed := e.put(k, v, durable); failed != nil {
					mu.Lock()
					err = errors.Join(err, failed)
					mu.Unlock()
					return
				}
				mine = append(mine, time.Since(at))
			}
			mu.Lock()
			took = append(took, mine...)
			mu.Unlock()
		})
	}
	all.Wait()
	slices.Sort(took)
	return float64(len(took)) / time.Since(began).Seconds(), took, err
}

func at(took []time.Duration, share float64) time.Duration {
	if len(took) == 0 {
		return 0
	}
	return took[min(len(took)-1, int(share*float64(len(took))))]
}

// recovery makes a store of so many bytes and gives how long it takes to open with a checkpoint, and without.
func recovery(dir string, bytes int64) (with, without time.Duration, err error) {
	fs, err := store.Folder(dir)
	if err != nil {
		return 0, 0, err
	}
	s, err := store.Open(fs, store.Options{CheckpointBytes: 1 << 40})
	if err != nil {
		return 0, 0, err
	}
	v := make([]byte, 1000)
	for i := uint64(0); s.Counters().Bytes < bytes; i++ {
		var b store.Batch
		b.Put(binary.BigEndian.AppendUint64(nil, i), v)
		if err := s.Write(&b, store.Buffered); err != nil {
			return 0, 0, err
		}
	}
	if err := s.Close(); err != nil {
		return 0, 0, err
	}
	open := func() (time.Duration, error) {
		s, err := store.Open(fs, store.Options{})
		if err != nil {
			return 0, err
		}
		defer s.Close()
		return s.Counters().Recovery, nil
	}
	if with, err = open(); err != nil {
		return 0, 0, err
	}
	list, err := filepath.Glob(filepath.Join(dir, "*.ckp"))
	if err != nil {
		return 0, 0, err
	}
	for _, name := range list {
		if err := os.Remove(name); err != nil {
			return 0, 0, err
		}
	}
	without, err = open()
	return with, without, err
}

func measure() error {
	length, sizes := 3*time.Second, []int64{1 << 20, 16 << 20, 256 << 20, 1 << 30}
	if short := os.Getenv("SHORT"); short != "" && short != "0" {
		length, sizes = time.Second, sizes[:3]
	}
	root, err := os.MkdirTemp("", "sprucelane-store-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(root)
	line, figures := "STORE", map[string]float64{}
	for _, make := range []func(string) (engine, error){ours, bolt, pebbles} {
		for _, c := range []struct {
			name    string
			writers int
			durable bool
		}{{"1", 1, true}, {"16", 16, true}, {"256", 256, true}, {"buffered", 16, false}} {
			dir, err := os.MkdirTemp(root, "")
			if err != nil {
				return err
			}
			e, err := make(dir)
			if err != nil {
				return err
			}
			perS, took, err := run(e, c.writers, c.durable, length)
			if err = errors.Join(err, e.close()); err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "%s writers=%s per_s=%.0f p50=%v p99=%v p999=%v\n", e.name, c.name, perS, at(took, 0.5), at(took, 0.99), at(took, 0.999))
			figures[e.name+c.name] = perS
			line += fmt.Sprintf(" %s_%s=%.0f", e.name, c.name, perS)
			os.RemoveAll(dir)
		}
	}
	var broken []error
	for _, size := range sizes {
		dir := filepath.Join(root, fmt.Sprint(size))
		with, without, err := recovery(dir, size)
		if err != nil {
			return err
		}
		line += fmt.Sprintf(" recovery_%dmb_ms=%d/%d", size>>20, with.Milliseconds(), without.Milliseconds())
		if with > 2*time.Second {
			broken = append(broken, fmt.Errorf("recovery of %d MB with a checkpoint takes %v", size>>20, with))
		}
		os.RemoveAll(dir)
	}
	fmt.Println(line)
	if figures["store256"] < 20*figures["store1"] {
		broken = append(broken, errors.New("256 writers do less than 20 times what one does"))
	}
	if figures["store256"] < figures["bbolt256"] {
		broken = append(broken, errors.New("bbolt is faster"))
	}
	return errors.Join(broken...)
}

func main() {
	if err := measure(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
