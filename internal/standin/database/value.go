package database

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"time"
)

// Value is a parameter in the log, in a JSON form that preserves its type.
type Value struct {
	// Kind is "null", "int", "float", "text" or "bytes".
	Kind string `json:"k"`
	// Text is the value as text; bytes are in hexadecimal.
	Text string `json:"v,omitempty"`
}

// timeLayout is the layout in which timestamps are stored.
const timeLayout = "2006-01-02 15:04:05.999999+00:00"

func encodeValue(v any) Value {
	switch v := v.(type) {
	case nil:
		return Value{Kind: "null"}
	case int64:
		return Value{Kind: "int", Text: strconv.FormatInt(v, 10)}
	case float64:
		return Value{Kind: "float", Text: strconv.FormatFloat(v, 'g', -1, 64)}
	case []byte:
		return Value{Kind: "bytes", Text: hex.EncodeToString(v)}
	case time.Time:
		return Value{Kind: "text", Text: v.UTC().Format(timeLayout)}
	}
	return Value{Kind: "text", Text: fmt.Sprint(v)}
}

func (v Value) decode() (any, error) {
	switch v.Kind {
	case "null":
		return nil, nil
	case "int":
		return strconv.ParseInt(v.Text, 10, 64)
	case "float":
		return strconv.ParseFloat(v.Text, 64)
	case "bytes":
		return hex.DecodeString(v.Text)
	}
	return v.Text, nil
}

func encodeValues(args []any) []Value {
	out := make([]Value, len(args))
	for i, a := range args {
		out[i] = encodeValue(a)
	}
	return out
}

func decodeValues(values []Value) ([]any, error) {
	out := make([]any, len(values))
	for i, v := range values {
		var err error
		if out[i], err = v.decode(); err != nil {
			return nil, err
		}
	}
	return out, nil
}
