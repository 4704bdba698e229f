package serverclient

import (
	"bufio"
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// maxHeaderLines bounds the number of lines of a header, and of a trailer.
const maxHeaderLines = 100

// responseHeader holds the parts of a response's status line and header that this package uses.
type responseHeader struct {
	status          int
	requestID       string
	hasSignature    bool // has X-Response-Signature, as every response that comes from the server itself
	notExecuted     bool // has X-Not-Executed
	chunked         bool
	length          int64 // Content-Length, -1 if there is none
	connectionClose bool
	keepAlive       time.Duration // timeout of Keep-Alive, 0 if there is none
	retryAfter      time.Duration
	load            string // X-Server-Load
}

// statusLine matches the start of a response. No header value is expected to contain it. So a match within a
// header shows that another response begins there, as happens when two responses are mixed up on a connection.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// readHeader reads a response's header. If acceptTorn, which only tests set, is true, it accepts a header that
// begins within another.
func readHeader(in *bufio.Reader, acceptTorn bool) (responseHeader, error) {
	response := responseHeader{length: -1}
	line, err := readLine(in)
	if err != nil {
		return response, err
	}
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) || !acceptTorn && statusLine.Match(line[12:]) {
		return response, errProtocol
	}
	if response.status, err = strconv.Atoi(string(line[9:12])); err != nil || response.status < 200 {
		return response, errProtocol
	}
	for range maxHeaderLines {
		if line, err = readLine(in); err != nil {
			return response, err
		}
		if len(line) == 0 {
			return response, nil
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !acceptTorn && statusLine.Match(line) {
			return response, errProtocol
		}
		if err := response.setField(string(name), string(bytes.TrimSpace(value))); err != nil {
			return response, err
		}
	}
	return response, errProtocol
}

// setField stores the value of a header line. It returns an error if a field that must be unique occurs twice,
// which shows that two headers were mixed up.
func (r *responseHeader) setField(name, value string) error {
	switch strings.ToLower(name) {
	case "x-request-id":
		if r.requestID != "" {
			return errWrongRequestID
		}
		r.requestID = value
	case "x-response-signature":
		if r.hasSignature {
			return errProtocol
		}
		r.hasSignature = value != ""
	case "x-not-executed":
		r.notExecuted = true
	case "transfer-encoding":
		r.chunked = strings.EqualFold(value, "chunked")
	case "content-length":
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 || r.length >= 0 && r.length != length {
			return errProtocol
		}
		r.length = length
	case "connection":
		r.connectionClose = strings.EqualFold(value, "close")
	case "keep-alive":
		if _, text, found := strings.Cut(value, "timeout="); found {
			text, _, _ = strings.Cut(text, ",")
			seconds, _ := strconv.Atoi(strings.TrimSpace(text))
			r.keepAlive = time.Duration(seconds) * time.Second
		}
	case "x-server-load":
		r.load = value
	case "retry-after":
		seconds, _ := strconv.ParseFloat(value, 64)
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return nil
}

// readLine reads a line and returns it without its line end. The line is valid until the next read.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}
