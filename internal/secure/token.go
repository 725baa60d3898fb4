// Package secure holds bearer tokens with their roles, the callers' rate limits, and the redaction of secrets from logs
// and dumps.
package secure

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
)

// TokenPrefix starts every token that NewToken makes, so that redaction finds tokens in free text.
const TokenPrefix = "svp_"

const (
	tokenRandomBytes = 24   // 192 bits, beyond guessing
	maxTokenBytes    = 4096 // longer text is refused before it is hashed
	bearerScheme     = "Bearer "
)

// Role says what the bearer of a token may do.
type Role int

// The roles. An operator may do all that a viewer may. A caller may use only the callers' interface.
const (
	RoleNone Role = iota
	RoleCaller
	RoleViewer
	RoleOperator
)

var roleNames = map[Role]string{RoleCaller: "caller", RoleViewer: "viewer", RoleOperator: "operator"}

// String returns the role's name.
func (r Role) String() string {
	if name, ok := roleNames[r]; ok {
		return name
	}
	return "none"
}

// ParseRole reads a role's name.
func ParseRole(name string) (Role, error) {
	for role, n := range roleNames {
		if n == name {
			return role, nil
		}
	}
	return RoleNone, fmt.Errorf("role %q is not known, must be caller, viewer or operator", name)
}

// Allows reports whether a bearer of role r may do what needs the role need.
func (r Role) Allows(need Role) bool {
	if r == RoleCaller || need == RoleCaller {
		return r == need
	}
	return r != RoleNone && r >= need
}

// Principal is the bearer of a known token.
type Principal struct {
	Name string // for audit lines; empty for callers without a name
	Role Role
	Team string // set for callers only
}

// Digest is the SHA-256 sum of a token. Only digests are kept in memory, in settings and in configurations.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a token.
func DigestOf(token []byte) Digest { return sha256.Sum256(token) }

// ParseDigest reads a digest in hexadecimal, with or without the prefix "sha256:".
func ParseDigest(s string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(strings.TrimPrefix(s, "sha256:"))
	if err != nil || len(raw) != len(d) {
		return d, fmt.Errorf("token digest must be %d hexadecimal digits of a SHA-256 sum", 2*len(d))
	}
	copy(d[:], raw)
	return d, nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// NewToken returns a fresh random token. It is shown once to its owner and not kept.
func NewToken() Secret {
	raw := make([]byte, tokenRandomBytes)
	rand.Read(raw) // never fails; it aborts the process where no randomness is to be had
	return Secret(TokenPrefix + base64.RawURLEncoding.EncodeToString(raw))
}

// Entry binds a token's digest to its bearer.
type Entry struct {
	Digest    Digest
	Principal Principal
}

func (e *Entry) check() error {
	p := &e.Principal
	switch {
	case p.Role == RoleNone:
		return errors.New("role is missing")
	case p.Role == RoleCaller && p.Team == "":
		return errors.New("a caller's token needs a team")
	case p.Role != RoleCaller && p.Team != "":
		return fmt.Errorf("a token of role %s must not have a team", p.Role)
	}
	return nil
}

type table map[uint64]*Entry

// newTable indexes entries by the leading bytes of their digests.
func newTable(entries []Entry) (table, error) {
	t := make(table, len(entries))
	var problems []error
	for i := range entries {
		e := entries[i]
		if err := e.check(); err != nil {
			problems = append(problems, fmt.Errorf("token %d: %w", i+1, err))
			continue
		}
		k := e.Digest.index()
		if _, twice := t[k]; twice {
			problems = append(problems, fmt.Errorf("token %d: the digest %s stands twice", i+1, e.Digest))
			continue
		}
		t[k] = &e
	}
	return t, errors.Join(problems...)
}

func (d *Digest) index() uint64 { return binary.BigEndian.Uint64(d[:]) }

// Tokens finds the bearer of a token. It is safe for concurrent use, and lookups never wait for a replacement.
// The zero value knows no token.
type Tokens struct {
	settings atomic.Pointer[table]
	callers  atomic.Pointer[table]
}

// SetStaffTokens replaces the operators' and viewers' tokens, which come from the settings. On an error nothing changes.
func (t *Tokens) SetStaffTokens(entries []Entry) error {
	for i := range entries {
		if entries[i].Principal.Role == RoleCaller {
			return fmt.Errorf("token %d: callers' tokens belong to the configuration", i+1)
		}
	}
	return replace(&t.settings, entries)
}

// SetCallerTokens replaces the callers' tokens, which come from the configuration. On an error nothing changes.
func (t *Tokens) SetCallerTokens(entries []Entry) error {
	for i := range entries {
		if entries[i].Principal.Role != RoleCaller {
			return fmt.Errorf("token %d: a configuration holds callers' tokens only", i+1)
		}
	}
	return replace(&t.callers, entries)
}

func replace(at *atomic.Pointer[table], entries []Entry) error {
	next, err := newTable(entries)
	if err != nil {
		return err
	}
	at.Store(&next)
	return nil
}

// Lookup returns the bearer of a token.
func (t *Tokens) Lookup(token []byte) (Principal, bool) {
	if len(token) == 0 || len(token) > maxTokenBytes {
		return Principal{}, false
	}
	d := DigestOf(token)
	if p, ok := find(t.settings.Load(), &d); ok {
		return p, true
	}
	return find(t.callers.Load(), &d)
}

// find compares whole digests in constant time. The index reveals at most whether some digest shares the leading
// bytes, which does not help to find a token.
func find(t *table, d *Digest) (Principal, bool) {
	if t == nil {
		return Principal{}, false
	}
	e, ok := (*t)[d.index()]
	if !ok {
		return Principal{}, false
	}
	if subtle.ConstantTimeCompare(e.Digest[:], d[:]) != 1 {
		return Principal{}, false
	}
	return e.Principal, true
}

// LookupHeader returns the bearer named by an Authorization header's value.
func (t *Tokens) LookupHeader(value []byte) (Principal, bool) {
	token, ok := BearerToken(value)
	if !ok {
		return Principal{}, false
	}
	return t.Lookup(token)
}

// BearerToken returns the token of an Authorization header's value without copying it.
func BearerToken(value []byte) ([]byte, bool) {
	n := len(bearerScheme)
	if len(value) <= n || !strings.EqualFold(string(value[:n]), bearerScheme) {
		return nil, false
	}
	return value[n:], true
}
