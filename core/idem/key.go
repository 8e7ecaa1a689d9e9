package idem

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// MaxKeyBytes is the maximum length of an idempotency key, including the
	// instance.
	MaxKeyBytes = 255
	// maxInstanceDigits is the number of hexadecimal digits of a uint64.
	maxInstanceDigits = 16
)

// Key is a parsed idempotency key.
type Key struct {
	// Instance is the VM instance that may run the request.
	Instance uint64
	// Text is the part that the caller supplies; it is not empty.
	Text string
}

// FormatInstance returns an instance in the format used in keys and addresses: 16
// hexadecimal digits.
func FormatInstance(instance uint64) string {
	return fmt.Sprintf("%016x", instance)
}

// ParseKey parses an idempotency key of the form {instance}.{text}: the instance in
// hexadecimal, a dot, and printable ASCII characters. Leading zeros of the instance
// may be omitted.
func ParseKey(s string) (Key, error) {
	if len(s) > MaxKeyBytes {
		return Key{}, fmt.Errorf("the idempotency key has %d bytes, the limit is %d", len(s), MaxKeyBytes)
	}
	digits, text, found := strings.Cut(s, ".")
	if !found || text == "" {
		return Key{}, fmt.Errorf("the idempotency key must have the form {instance}.{text}")
	}
	if len(digits) > maxInstanceDigits {
		return Key{}, fmt.Errorf("the instance of the idempotency key has more than %d digits", maxInstanceDigits)
	}
	instance, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return Key{}, fmt.Errorf("the instance of the idempotency key is not a hexadecimal number")
	}
	for i := 0; i < len(text); i++ {
		if text[i] < 0x20 || text[i] > 0x7e {
			return Key{}, fmt.Errorf("the idempotency key contains a byte that is not printable ASCII")
		}
	}
	return Key{Instance: instance, Text: text}, nil
}
