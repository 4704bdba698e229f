package bubble

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// serverAddress is where the server of each test listens.
const serverAddress = "10.0.0.2:70"

// pair opens a connection between two machines. It returns both ends, and the host that accepted.
func pair(t *testing.T, n *Network) (from, to net.Conn, server *Host) {
	t.Helper()
	client, server := n.StartHost("10.0.0.1"), n.StartHost("10.0.0.2")
	listener, err := server.Listen(serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	if from, err = client.Dial(t.Context(), serverAddress); err != nil {
		t.Fatal(err)
	}
	if to, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return from, to, server
}

// read makes one read, which fails after the given time.
func read(t *testing.T, c net.Conn, within time.Duration) (string, error) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(within))
	buffer := make([]byte, 100)
	count, err := c.Read(buffer)
	return string(buffer[:count]), err
}

func TestConnections(t *testing.T) {
	fault := func(name string, run func(t *testing.T, n *Network)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { run(t, NewNetwork(1)) }) })
	}
	fault("bytes arrive in order, then the end", func(t *testing.T, n *Network) {
		from, to, _ := pair(t, n)
		for range 100 {
			_, _ = from.Write([]byte("abc"))
		}
		_ = from.Close()
		all, err := io.ReadAll(to)
		if err != nil || len(all) != 300 || string(all[297:]) != "abc" {
			t.Fatal(len(all), err)
		}
	})
	fault("a short partition holds bytes back", func(t *testing.T, n *Network) {
		from, to, _ := pair(t, n)
		n.Partition("10.0.0.1", "10.0.0.2")
		_, _ = from.Write([]byte("held"))
		if got, err := read(t, to, time.Second); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(got, err)
		}
		n.Heal("10.0.0.1", "10.0.0.2")
		if got, err := read(t, to, time.Second); got != "held" || err != nil {
			t.Fatal(got, err)
		}
	})
	oneWay := "a partition in one direction lets data in the other pass, and its sender times out without acknowledgements"
	fault(oneWay, func(t *testing.T, n *Network) {
		from, to, _ := pair(t, n)
		n.Partition("10.0.0.1", "10.0.0.2")
		_, _ = to.Write([]byte("back"))
		if got, err := read(t, from, time.Second); got != "back" || err != nil {
			t.Fatal(got, err)
		}
		time.Sleep(2 * userTimeout)
		if _, err := to.Write(nil); !errors.Is(err, syscall.ETIMEDOUT) {
			t.Fatal(err)
		}
		limited, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.hosts["10.0.0.1"].Dial(limited, serverAddress); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
	})
	fault("a killed process resets its connections, a host without power sends nothing", func(t *testing.T, n *Network) {
		from, _, server := pair(t, n)
		server.Kill()
		if _, err := read(t, from, time.Second); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatal(err)
		}
		from, _, server = pair(t, n)
		server.LosePower()
		if _, err := read(t, from, time.Second); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		if _, err := read(t, from, keepAliveTimeout); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatal(err)
		}
	})
}
