package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/secure"
)

const maxAnswerBytes = 64 << 20 // a dump of a busy instance or the outputs of 160 tasks

// brokenError is a request without an answer. When sent is false, no byte of it can have reached the instance.
type brokenError struct {
	address string
	sent    bool
	err     error
}

func (e *brokenError) Error() string {
	if errors.Is(e.err, fasthttp.ErrTimeout) {
		return fmt.Sprintf("%s: no answer in time", e.address)
	}
	if e.sent {
		return fmt.Sprintf("%s: the connection broke before the answer: %v", e.address, e.err)
	}
	return fmt.Sprintf("%s: cannot be reached: %v", e.address, e.err)
}

func (e *brokenError) Unwrap() error { return e.err }

// dialError marks an error that came up before a request was sent.
type dialError struct{ error }

// client sends requests with a bearer token. Requests are never repeated by the HTTP library, because only the caller
// knows which of them may be repeated.
type client struct {
	token secure.Secret
	plain *fasthttp.Client
	tls   *fasthttp.Client
}

func newClient(token secure.Secret, conf *tls.Config, dialTimeout time.Duration) *client {
	dialer := net.Dialer{Timeout: dialTimeout}
	plain := func(address string) (net.Conn, error) {
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			return nil, dialError{err}
		}
		return conn, nil
	}
	// The handshake belongs to the dial, so that a failed one is known to precede the request.
	encrypted := func(address string) (net.Conn, error) {
		conn, err := tls.DialWithDialer(&dialer, "tcp", address, conf)
		if err != nil {
			return nil, dialError{err}
		}
		return conn, nil
	}
	return &client{token: token, plain: newHTTP(plain), tls: newHTTP(encrypted)}
}

func newHTTP(dial fasthttp.DialFunc) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "savoryctl",
		Dial:                      dial,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
	}
}

// answer is a response as it came.
type answer struct {
	status int
	body   []byte
}

// request is one HTTP exchange. The address may start with http:// or https://; http is the default.
type request struct {
	address string
	method  string
	path    string
	body    []byte
	timeout time.Duration
}

// send returns the response, or a *brokenError.
func (c *client) send(r request) (answer, error) {
	base, encrypted := baseURL(r.address)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(base + r.path)
	req.Header.SetMethod(r.method)
	req.Header.Set("Authorization", "Bearer "+c.token.Reveal())
	req.Header.SetContentType("application/json")
	req.SetConnectionClose() // a kept connection may be closed at the other end, which looks like a lost answer
	req.SetBody(r.body)
	h := c.plain
	if encrypted {
		h = c.tls
	}
	if err := h.DoTimeout(req, resp, r.timeout); err != nil {
		var dial dialError
		return answer{}, &brokenError{address: r.address, sent: !errors.As(err, &dial), err: err}
	}
	return answer{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}, nil
}

func baseURL(address string) (base string, encrypted bool) {
	if strings.HasPrefix(address, "https://") {
		return strings.TrimSuffix(address, "/"), true
	}
	return "http://" + strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/"), false
}

// sameScheme gives an address from a member list the scheme of the address that the list came from.
func sameScheme(address, from string) string {
	if _, encrypted := baseURL(from); encrypted && !strings.Contains(address, "://") {
		return "https://" + address
	}
	return address
}

// call sends a request to an operators' listener and decodes its answer. A refusal is returned as *opsapi.Error.
func (c *client) call(r request, into any) error {
	got, err := c.send(r)
	if err != nil {
		return err
	}
	if got.status == http.StatusOK {
		return decodeAnswer(r.address, got.body, into)
	}
	var refused opsapi.Error
	if err := json.Unmarshal(got.body, &refused); err != nil || refused.Name == "" {
		return exitf(ExitFailed, "%s: answered with status %d, which is not an answer of an operators' listener", r.address, got.status)
	}
	return fmt.Errorf("%s: %w", r.address, &refused)
}

func decodeAnswer(address string, body []byte, into any) error {
	if raw, ok := into.(*json.RawMessage); ok {
		*raw = body
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return exitf(ExitFailed, "%s: the answer cannot be read: %v", address, err)
	}
	return nil
}

// tlsConfig loads the certificates that the settings name.
func tlsConfig(ca, cert, key string) (*tls.Config, error) {
	conf := &tls.Config{MinVersion: tls.VersionTLS13}
	if ca != "" {
		pem, err := os.ReadFile(ca)
		if err != nil {
			return nil, usagef("--ca: %w", err)
		}
		conf.RootCAs = x509.NewCertPool()
		if !conf.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usagef("--ca: %s has no certificate", ca)
		}
	}
	if (cert == "") != (key == "") {
		return nil, usagef("--cert and --key belong together")
	}
	if cert != "" {
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, usagef("--cert, --key: %w", err)
		}
		conf.Certificates = []tls.Certificate{pair}
	}
	return conf, nil
}
