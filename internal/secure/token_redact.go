package secure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/sirupsen/logrus"
)

// Redacted is the text that replaces a secret.
const Redacted = "[redacted]"

// Secret is text that must not appear in logs, dumps or messages. It formats and marshals as Redacted; Reveal returns
// the text.
type Secret string

// Reveal returns the secret text.
func (s Secret) Reveal() string { return string(s) }

// String returns Redacted.
func (s Secret) String() string { return Redacted }

// Format prints Redacted for every verb, so that %q, %x and %#v cannot print the text.
func (s Secret) Format(f fmt.State, _ rune) { fmt.Fprint(f, Redacted) }

// MarshalText returns Redacted, which covers JSON, YAML and msgpack encoders.
func (s Secret) MarshalText() ([]byte, error) { return []byte(Redacted), nil }

// secretText matches tokens, authorization values and private keys in free text.
var secretText = regexp.MustCompile(
	`(?i:\b(?:bearer|basic)\s+)[A-Za-z0-9._~+/=-]{8,}` +
		`|` + TokenPrefix + `[A-Za-z0-9_-]{8,}` +
		`|(?s:-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(?:-----END [A-Z ]*PRIVATE KEY-----|$))`)

// secretNames are the names of the fields whose values are always replaced.
var secretNames = map[string]bool{
	"authorization": true, "token": true, "password": true, "secret": true, "private_key": true, "identity_key": true,
}

// RedactText returns the text with all tokens, authorization values and private keys replaced by Redacted.
func RedactText(text string) string {
	return secretText.ReplaceAllLiteralString(text, Redacted)
}

func isSecretName(name string) bool {
	return secretNames[strings.ToLower(strings.ReplaceAll(name, "-", "_"))]
}

// RedactJSON returns the JSON text with the values of secret fields, and secrets within strings, replaced by Redacted.
// The error says that the text is not valid JSON.
func RedactJSON(text []byte) ([]byte, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber() // keeps 64-bit numbers exact, such as incarnations, which a float64 cannot hold
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, fmt.Errorf("redact: %w", err)
	}
	return json.Marshal(redactValue(v))
}

func redactValue(v any) any {
	switch v := v.(type) {
	case string:
		return RedactText(v)
	case []any:
		for i := range v {
			v[i] = redactValue(v[i])
		}
		return v
	case map[string]any:
		return redactMap(v)
	}
	return v
}

func redactMap(m map[string]any) map[string]any {
	out := make(map[string]any, len(m))
	for name, v := range m {
		if isSecretName(name) {
			out[name] = Redacted
			continue
		}
		out[RedactText(name)] = redactValue(v)
	}
	return out
}

// LogHook is a logrus hook that replaces secrets in messages and fields before they are written.
type LogHook struct{}

// Levels returns all levels.
func (LogHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire replaces the secrets in the entry. It may change the entry, because logrus passes hooks a copy.
func (LogHook) Fire(e *logrus.Entry) error {
	e.Message = RedactText(e.Message)
	clean := make(logrus.Fields, len(e.Data))
	for name, v := range e.Data {
		clean[name] = redactField(name, v)
	}
	e.Data = clean
	return nil
}

func redactField(name string, v any) any {
	if isSecretName(name) {
		return Redacted
	}
	switch v := v.(type) {
	case bool, int, int32, int64, uint, uint32, uint64, float64:
		return v
	case string:
		return RedactText(v)
	}
	text := fmt.Sprint(v)
	if clean := RedactText(text); clean != text {
		return clean
	}
	return v
}
