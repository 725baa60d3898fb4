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

const maxResponseBytes = 64 << 20 // enough for a dump of a busy instance, or for the outputs of a job's 160 tasks

// noResponseError means that a request got no response.
type noResponseError struct {
	address   string
	maybeSent bool // false if no part of the request can have reached the instance
	err       error
}

func (e *noResponseError) Error() string {
	if errors.Is(e.err, fasthttp.ErrTimeout) {
		return fmt.Sprintf("%s: the request timed out", e.address)
	}
	if e.maybeSent {
		return fmt.Sprintf("%s: the connection broke before the answer: %v", e.address, e.err)
	}
	return fmt.Sprintf("%s: cannot be reached: %v", e.address, e.err)
}

func (e *noResponseError) Unwrap() error { return e.err }

// dialError is an error of connecting, before any part of a request was sent.
type dialError struct{ error }

// client sends requests with a bearer token. The HTTP library does not retry requests, because only the commands know
// which of them may be repeated.
type client struct {
	token secure.Secret
	plain *fasthttp.Client // for http
	tls   *fasthttp.Client // for https
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
	// Dialing includes the TLS handshake, so that a failed handshake is known to precede the request.
	encrypted := func(address string) (net.Conn, error) {
		conn, err := tls.DialWithDialer(&dialer, "tcp", address, conf)
		if err != nil {
			return nil, dialError{err}
		}
		return conn, nil
	}
	return &client{token: token, plain: newHTTPClient(plain), tls: newHTTPClient(encrypted)}
}

func newHTTPClient(dial fasthttp.DialFunc) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "savoryctl",
		Dial:                      dial,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
	}
}

// response is an HTTP response.
type response struct {
	status int
	body   []byte
}

// request is an HTTP request. The address is HOST:PORT and may start with http:// or https://; http is the default.
type request struct {
	address string
	method  string
	path    string
	body    []byte
	timeout time.Duration // for the whole exchange, connecting included
}

// send sends a request. It returns the response, or a *noResponseError.
func (c *client) send(r request) (response, error) {
	base, encrypted := baseURL(r.address)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(base + r.path)
	req.Header.SetMethod(r.method)
	req.Header.Set("Authorization", "Bearer "+c.token.Reveal())
	req.Header.SetContentType("application/json")
	req.SetConnectionClose() // the server may close an idle connection, which would look like a lost response
	req.SetBody(r.body)
	h := c.plain
	if encrypted {
		h = c.tls
	}
	if err := h.DoTimeout(req, resp, r.timeout); err != nil {
		var dial dialError
		return response{}, &noResponseError{address: r.address, maybeSent: !errors.As(err, &dial), err: err}
	}
	return response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}, nil
}

// baseURL returns the address with its scheme, and whether that is https.
func baseURL(address string) (base string, encrypted bool) {
	if strings.HasPrefix(address, "https://") {
		return strings.TrimSuffix(address, "/"), true
	}
	return "http://" + strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/"), false
}

// sameScheme returns an address from a member list with the scheme of the address that the list was read from. Addresses
// in member lists have no scheme.
func sameScheme(address, from string) string {
	if _, encrypted := baseURL(from); encrypted && !strings.Contains(address, "://") {
		return "https://" + address
	}
	return address
}

// call sends a request to an operators' listener and decodes the answer into a pointer. A refusal is returned as an
// error that wraps *opsapi.Error.
func (c *client) call(r request, into any) error {
	got, err := c.send(r)
	if err != nil {
		return err
	}
	if got.status == http.StatusOK {
		return decodeResponse(r.address, got.body, into)
	}
	var refused opsapi.Error
	if err := json.Unmarshal(got.body, &refused); err != nil || refused.Name == "" {
		return exitf(ExitFailed, "%s: answered with status %d, which is not an answer of an operators' listener", r.address, got.status)
	}
	return fmt.Errorf("%s: %w", r.address, &refused)
}

// decodeResponse decodes a JSON body, or copies it unchecked into a *json.RawMessage.
func decodeResponse(address string, body []byte, into any) error {
	if raw, ok := into.(*json.RawMessage); ok {
		*raw = body
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return exitf(ExitFailed, "%s: the answer cannot be read: %v", address, err)
	}
	return nil
}

// tlsConfig loads the CA certificates and the client certificate from the named files. An empty name means none.
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
		return nil, usagef("--cert and --key must be given together")
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
