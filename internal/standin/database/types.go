package database

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// oidUnknown is the type of a parameter or column that could not be inferred.
const oidUnknown = 0

// typeOID returns the OID of the PostgreSQL type for a declared type.
func typeOID(declared string) uint32 {
	name, _, _ := strings.Cut(strings.ToUpper(strings.TrimSpace(declared)), "(")
	switch strings.TrimSpace(name) {
	case "BIGINT", "INT8":
		return pgtype.Int8OID
	case "INT", "INTEGER", "INT4", "SMALLINT", "INT2":
		return pgtype.Int4OID
	case "BOOL", "BOOLEAN":
		return pgtype.BoolOID
	case "REAL", "FLOAT", "FLOAT8", "DOUBLE", "DOUBLE PRECISION", "NUMERIC", "DECIMAL":
		return pgtype.Float8OID
	case "BYTEA", "BLOB":
		return pgtype.ByteaOID
	case "TIMESTAMP", "TIMESTAMPTZ", "DATETIME":
		return pgtype.TimestamptzOID
	case "DATE":
		return pgtype.DateOID
	case "":
		return oidUnknown
	}
	return pgtype.TextOID
}

// decodeParam converts a parameter from its wire format to a value for the engine.
func decodeParam(types *pgtype.Map, oid uint32, format int16, src []byte) (any, error) {
	if src == nil {
		return nil, nil
	}
	t, ok := types.TypeForOID(oid)
	if !ok {
		return string(src), nil
	}
	v, err := t.Codec.DecodeValue(types, oid, format, src)
	if err != nil {
		return nil, newError(sqlStateInvalidText, "invalid parameter of type %s: %v", t.Name, err)
	}
	return engineValue(v, src), nil
}

func engineValue(v any, src []byte) any {
	switch v := v.(type) {
	case int16:
		return int64(v)
	case int32:
		return int64(v)
	case int64, float64, string, []byte:
		return v
	case uint32:
		return int64(v)
	case float32:
		return float64(v)
	case bool:
		if v {
			return int64(1)
		}
		return int64(0)
	case time.Time:
		return v.UTC().Format(timeLayout)
	case pgtype.Numeric:
		f, _ := v.Float64Value()
		return f.Float64
	}
	return string(src)
}

// encodeColumn converts a value of the engine to its wire format.
func encodeColumn(types *pgtype.Map, oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if oid == pgtype.TextOID {
		return []byte(textOf(v)), nil
	}
	converted, err := columnValue(oid, v)
	if err != nil {
		return nil, err
	}
	out, err := types.Encode(oid, format, converted, nil)
	if err != nil {
		return nil, newError(sqlStateInvalidText, "column value %v: %v", v, err)
	}
	return out, nil
}

func columnValue(oid uint32, v any) (any, error) {
	switch oid {
	case pgtype.Int4OID:
		n, err := toInt(v)
		if err == nil && (n > math.MaxInt32 || n < math.MinInt32) {
			return nil, newError("22003", "integer out of range")
		}
		return n, err
	case pgtype.Int8OID:
		return toInt(v)
	case pgtype.BoolOID:
		return toBool(v)
	case pgtype.Float8OID:
		return toFloat(v)
	}
	return v, nil
}

func toInt(v any) (int64, error) {
	switch v := v.(type) {
	case int64:
		return v, nil
	case bool:
		if v {
			return 1, nil
		}
		return 0, nil
	case float64:
		return int64(v), nil
	}
	n, err := strconv.ParseInt(textOf(v), 10, 64)
	if err != nil {
		return 0, newError(sqlStateInvalidText, "invalid input syntax for type bigint: %q", textOf(v))
	}
	return n, nil
}

func toFloat(v any) (float64, error) {
	switch v := v.(type) {
	case int64:
		return float64(v), nil
	case float64:
		return v, nil
	}
	f, err := strconv.ParseFloat(textOf(v), 64)
	if err != nil {
		return 0, newError(sqlStateInvalidText, "invalid input syntax for type double precision: %q", textOf(v))
	}
	return f, nil
}

func toBool(v any) (bool, error) {
	switch v := v.(type) {
	case bool:
		return v, nil
	case int64:
		return v != 0, nil
	}
	switch strings.ToLower(textOf(v)) {
	case "t", "true", "1":
		return true, nil
	case "f", "false", "0":
		return false, nil
	}
	return false, newError(sqlStateInvalidText, "invalid input syntax for type boolean: %q", textOf(v))
}

func textOf(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case []byte:
		return string(v)
	case time.Time:
		return v.UTC().Format(timeLayout)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return fmt.Sprint(v)
}
