//go:build review

package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client has read of an answer to a stream.
type Answer struct {
	Status   int // 0: no head arrived
	Body     string
	Complete bool // the body came to its marked end
	Err      error
	Took     time.Duration
}

// Events returns the number of whole events in the answer.
func (a Answer) Events() int { return strings.Count(a.Body, "\n\n") }

// Stream sends a request for a stream to a gateway on a new connection that may be kept, and reads the answer.
// started, if not nil, is called when the first byte of the body has arrived.
func (l *Lab) Stream(gateway, path, id string, headers map[string]string, started func()) Answer {
	began := time.Now()
	answer := Answer{}
	conn, err := net.DialTimeout("tcp", gateway, time.Second)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	body := "prompt of " + id
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nApi-Key: %s\r\nX-Model: m\r\n", path, Host, id, Key)
	fmt.Fprintf(&head, "X-Token-Usage: 540,80\r\nX-Prompt-Prefix: 5c1e07a2:100,%x:440\r\nContent-Length: %d\r\n", began.UnixNano(), len(body))
	for name, value := range headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	l.Logf("client: sends %s", id)
	if _, err := io.WriteString(conn, head.String()+"\r\n"+body); err != nil {
		answer.Err = err
		return answer
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		answer.Err, answer.Took = err, time.Since(began)
		return answer
	}
	answer.Status = response.StatusCode
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 && answer.Body == "" && started != nil {
			started()
		}
		answer.Body += string(buffer[:n])
		if err == io.EOF {
			answer.Complete = true
			break
		}
		if err != nil {
			answer.Err = err
			break
		}
	}
	answer.Took = time.Since(began)
	return answer
}

// AwaitStream sends streams to a gateway until one is answered whole, so that quota has been granted and the servers
// are known there.
func (l *Lab) AwaitStream(ctx context.Context, gateway, path string) error {
	for i := 0; ctx.Err() == nil; i++ {
		if answer := l.Stream(gateway, path, fmt.Sprintf("warm%012x", time.Now().UnixNano()), map[string]string{"X-Deadline-Ms": "4000"}, nil); answer.Status == 200 && answer.Complete {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s serves nothing", gateway)
}

// Call sends one call on a new connection and reads the whole answer. The status is 0 if there is no answer.
func (l *Lab) Call(method, gateway, path, host string, headers map[string]string, body []byte) (status int, text []byte) {
	client := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+gateway+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		l.Logf("client: %s %s: %v", method, path, err)
		return 0, nil
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}
