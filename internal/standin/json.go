package standin

import (
	"bytes"
	"encoding/json"
)

// DecodeStrict decodes JSON into a value. It returns an error for unknown fields.
func DecodeStrict(body []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}
