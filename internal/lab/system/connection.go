package system

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Connection is a client's connection to a gateway, on which it sends one request after the other. It is for use by one
// goroutine.
type Connection struct {
	client  *Client
	machine Machine
	conn    net.Conn
	reader  *bufio.Reader
	usable  bool
}

// Connect opens a connection to a machine's gateway. The caller must close it.
func (c *Client) Connect(ctx context.Context, m Machine) (*Connection, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", hostPort(m.IP, portFront))
	if err != nil {
		return nil, err
	}
	return &Connection{client: c, machine: m, conn: conn, reader: bufio.NewReader(conn), usable: true}, nil
}

// Close closes the connection.
func (k *Connection) Close() { _ = k.conn.Close() }

// Usable returns whether another request may be sent: no response has announced that the gateway closes the connection,
// and none is missing.
func (k *Connection) Usable() bool { return k.usable }

// Stream sends a request as Client.Stream does.
func (k *Connection) Stream(ctx context.Context, id string, session int) Outcome {
	request, err := k.client.streamRequest(ctx, k.machine, id, session)
	if err != nil {
		return Outcome{Problem: err.Error()}
	}
	began := time.Now()
	_ = k.conn.SetDeadline(began.Add(k.client.timeout())) // fails on a closed connection only, as Write then does
	response, err := k.exchange(request)
	if err != nil {
		k.usable = false
		return Outcome{Problem: err.Error(), Err: err}
	}
	defer response.Body.Close()
	outcome := readStream(response, id, began)
	k.usable = outcome.Err == nil && !response.Close
	return outcome
}

// exchange sends a request and reads the head of the response. After a failed write the response is read
// nevertheless: a gateway may answer and close before it has read a request.
func (k *Connection) exchange(request *http.Request) (*http.Response, error) {
	writeErr := request.Write(k.conn)
	response, err := http.ReadResponse(k.reader, request)
	if err != nil && writeErr != nil {
		return nil, writeErr
	}
	return response, err
}

// SendRaw sends bytes to a machine's gateway on a connection of their own, reads what comes back until the gateway
// closes it or a timeout has passed, and returns it.
func SendRaw(ctx context.Context, m Machine, text string, timeout time.Duration) (string, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", hostPort(m.IP, portFront))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	response, _ := io.ReadAll(io.LimitReader(conn, maxResponseBytes)) // ends with a time-out on a kept connection
	return string(response), nil
}
