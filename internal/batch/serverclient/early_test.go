package serverclient

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

// inMemory runs a scenario in virtual time on a simulated network. Each connection to the server is handled by a
// call of server.
func inMemory(t *testing.T, server func(*memorynet.Conn), scenario func(*Client, *Request)) {
	synctest.Test(t, func(*testing.T) {
		network := &memorynet.Network{
			Window:  func() int { return 4 << 10 },
			Latency: func() time.Duration { return time.Millisecond },
		}
		l := network.Listen("server")
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go server(c.(*memorynet.Conn))
			}
		}()
		client := NewClient()
		client.dial = network.Dial
		scenario(client, request("server"))
		client.Sweep(func(string) bool { return false })
		l.Close()
		time.Sleep(time.Second)
	})
}

const unprocessableResponse = "HTTP/1.1 422 No\r\nX-Request-Id: item\r\nContent-Length: 0\r\n\r\n"

func TestResponseBeforeBodyIsSent(t *testing.T) {
	for name, then := range map[string]func(*memorynet.Conn){
		"reads no further": func(*memorynet.Conn) {},
		"closes":           func(c *memorynet.Conn) { c.Close() },
		"resets":           func(c *memorynet.Conn) { c.Reset(false) },
	} {
		for _, length := range []int{8 << 10, 200 << 10} {
			var outcome Outcome
			var took time.Duration
			kept := false
			inMemory(t, func(c *memorynet.Conn) {
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
					io.WriteString(c, unprocessableResponse)
					then(c)
				}
			}, func(client *Client, r *Request) {
				r.Item.Body = bytes.Repeat([]byte("x"), length)
				began := time.Now()
				outcome = client.Run(context.Background(), r)
				took = time.Since(began)
				time.Sleep(10 * time.Millisecond)
				kept = client.takeIdle(r.Instance, "another") != nil
			})
			Convey("A response before a long body is sent is read from a server that then "+name, t, func() {
				So(outcome.Result, ShouldEqual, Unprocessable)
				So(kept, ShouldBeFalse)
				So(took, ShouldBeLessThan, 300*time.Millisecond)
			})
		}
	}
}

func TestRetriedItem(t *testing.T) {
	const failure = "HTTP/1.1 500 No\r\nX-Request-Id: item\r\nContent-Length: 0\r\n\r\n"
	connections, runs := 0, 0
	var results []Result
	inMemory(t, func(c *memorynet.Conn) {
		connections++
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			if runs++; runs > 1 {
				io.WriteString(c, success+"Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n")
				return
			}
			io.WriteString(c, failure)
			// Send a late second response, which arrives in place of the response to the next request.
			time.AfterFunc(50*time.Millisecond, func() { io.WriteString(c, failure) })
		}
	}, func(client *Client, r *Request) {
		for range 2 {
			results = append(results, client.Run(context.Background(), r).Result)
			time.Sleep(49 * time.Millisecond)
		}
	})
	Convey("A late response to the previous attempt of an item isn't accepted for its retry", t, func() {
		So(connections, ShouldEqual, 2)
		So(runs, ShouldEqual, 2)
		So(results, ShouldResemble, []Result{Failed, Interrupted}) // the second response carries an id other than the item's
	})
}

func TestUnusedConnection(t *testing.T) {
	var dials int64
	inMemory(t, func(c *memorynet.Conn) { io.Copy(io.Discard, c) }, func(client *Client, r *Request) {
		r.Gate = func() bool { return false }
		for range 8 {
			client.Run(context.Background(), r)
			time.Sleep(maxIdle / 5)
		}
		dials = client.Dials()
	})
	Convey("The idle time of a connection continues if nothing is written on it", t, func() {
		So(dials, ShouldEqual, 2)
	})
}
