package relay

import (
	"reflect"
	"strings"
	"testing"
)

// Guards against two fields of a message with the same key: each would be decoded into the other.
func TestKeysOfFieldsAreUnique(t *testing.T) {
	for _, message := range []any{Submit{}, Answer{}, Cancel{}, Claim{}, heartbeat{}, Load{}, Placement{}, Cancellation{}} {
		kind := reflect.TypeOf(message)
		fieldOf := map[string]string{}
		for i := range kind.NumField() {
			name := kind.Field(i).Name
			key, _, _ := strings.Cut(kind.Field(i).Tag.Get("msgpack"), ",")
			if other, taken := fieldOf[key]; taken && key != "" && key != "-" {
				t.Errorf("%s: %s and %s have the key %q", kind.Name(), other, name, key)
			}
			fieldOf[key] = name
		}
	}
}
