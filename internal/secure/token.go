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

// TokenPrefix is the prefix of every token that NewToken returns. Redaction finds tokens in free text by it.
const TokenPrefix = "svp_"

const (
	tokenRandomBytes = 24   // 192 bits, too many to guess
	maxTokenBytes    = 4096 // longer tokens are refused without being hashed
	bearerScheme     = "Bearer "
)

// Role determines what the bearer of a token may do.
type Role int

// The roles. An operator may do everything that a viewer may. A caller may use only the callers' interface.
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

// ParseRole returns the role with a name.
func ParseRole(name string) (Role, error) {
	for role, n := range roleNames {
		if n == name {
			return role, nil
		}
	}
	return RoleNone, fmt.Errorf("role %q is unknown, must be caller, viewer or operator", name)
}

// Allows reports whether a bearer of role r may do what requires the role need.
func (r Role) Allows(need Role) bool {
	if r == RoleCaller || need == RoleCaller {
		return r == need
	}
	return r != RoleNone && r >= need
}

// Principal is the bearer of a known token.
type Principal struct {
	Name string // for the audit log; empty for callers without a name
	Role Role
	Team string // set for callers only
}

// Digest is the SHA-256 sum of a token. Only digests are kept in memory, in settings and in configurations.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a token.
func DigestOf(token []byte) Digest { return sha256.Sum256(token) }

// ParseDigest parses a digest in hexadecimal, with or without the prefix "sha256:".
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

// NewToken returns a new random token. The token is to be shown to its owner once and not stored; only its digest is
// stored.
func NewToken() Secret {
	raw := make([]byte, tokenRandomBytes)
	rand.Read(raw) // never returns an error: it ends the process if there is no source of randomness
	return Secret(TokenPrefix + base64.RawURLEncoding.EncodeToString(raw))
}

// Entry maps the digest of a token to its bearer.
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
		return errors.New("a caller's token must have a team")
	case p.Role != RoleCaller && p.Team != "":
		return fmt.Errorf("a token of role %s must not have a team", p.Role)
	}
	return nil
}

// table holds the entries by Digest.index.
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
		if _, exists := t[k]; exists {
			problems = append(problems, fmt.Errorf("token %d: the digest %s is listed more than once", i+1, e.Digest))
			continue
		}
		t[k] = &e
	}
	return t, errors.Join(problems...)
}

// index returns the leading 8 bytes of the digest as a number.
func (d *Digest) index() uint64 { return binary.BigEndian.Uint64(d[:]) }

// Tokens maps tokens to their bearers. It is safe for concurrent use, and a lookup does not wait for a replacement of
// the tokens. The zero value holds no tokens.
type Tokens struct {
	staff   atomic.Pointer[table] // operators' and viewers' tokens
	callers atomic.Pointer[table]
}

// SetStaffTokens replaces the operators' and viewers' tokens, which come from the file that the settings name. On an
// error nothing changes.
func (t *Tokens) SetStaffTokens(entries []Entry) error {
	for i := range entries {
		if entries[i].Principal.Role == RoleCaller {
			return fmt.Errorf("token %d: callers' tokens belong in the configuration", i+1)
		}
	}
	return replace(&t.staff, entries)
}

// SetCallerTokens replaces the callers' tokens, which come from the configuration. On an error nothing changes.
func (t *Tokens) SetCallerTokens(entries []Entry) error {
	for i := range entries {
		if entries[i].Principal.Role != RoleCaller {
			return fmt.Errorf("token %d: must be a caller's token", i+1)
		}
	}
	return replace(&t.callers, entries)
}

func replace(target *atomic.Pointer[table], entries []Entry) error {
	next, err := newTable(entries)
	if err != nil {
		return err
	}
	target.Store(&next)
	return nil
}

// Lookup returns the bearer of a token, and false if the token is unknown.
func (t *Tokens) Lookup(token []byte) (Principal, bool) {
	if len(token) == 0 || len(token) > maxTokenBytes {
		return Principal{}, false
	}
	d := DigestOf(token)
	if p, ok := find(t.staff.Load(), &d); ok {
		return p, true
	}
	return find(t.callers.Load(), &d)
}

// find looks up a digest in a table. It compares whole digests in constant time. The time of the index lookup reveals
// at most whether some digest has the same leading bytes, which does not help to guess a token.
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

// LookupHeader returns the bearer of the token in an Authorization header's value, and false if there is no known
// token.
func (t *Tokens) LookupHeader(value []byte) (Principal, bool) {
	token, ok := BearerToken(value)
	if !ok {
		return Principal{}, false
	}
	return t.Lookup(token)
}

// BearerToken returns the token in an Authorization header's value without copying it, and false if the value does not
// use the Bearer scheme.
func BearerToken(value []byte) ([]byte, bool) {
	n := len(bearerScheme)
	if len(value) <= n || !strings.EqualFold(string(value[:n]), bearerScheme) {
		return nil, false
	}
	return value[n:], true
}
