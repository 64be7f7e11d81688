package wire

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"crocusyoke/internal/standin/targetd/sqltext"
	"crocusyoke/internal/standin/targetd/store"
)

// codec encodes and decodes values. Its type map caches encoding plans and is not safe for
// concurrent use, so each session has its own.
type codec struct{ types *pgtype.Map }

// decodeParameter decodes a parameter to a Go value that the SQLite driver accepts.
func (c codec) decodeParameter(raw []byte, oid uint32, format int16) (any, error) {
	if raw == nil {
		return nil, nil
	}
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		return scan[int64](c, raw, oid, format)
	case pgtype.Float4OID, pgtype.Float8OID:
		return scan[float64](c, raw, oid, format)
	case pgtype.NumericOID:
		return scan[float64](c, raw, oid, format)
	case pgtype.BoolOID:
		return scan[bool](c, raw, oid, format)
	case pgtype.ByteaOID:
		return scan[[]byte](c, raw, oid, format)
	case 0, pgtype.TextOID, pgtype.VarcharOID, pgtype.BPCharOID, pgtype.UnknownOID:
		return string(raw), nil
	}
	if format == pgproto3.TextFormat {
		return string(raw), nil
	}
	return scan[string](c, raw, oid, format)
}

func scan[T any](c codec, raw []byte, oid uint32, format int16) (any, error) {
	var value T
	if err := c.types.Scan(oid, format, raw, &value); err != nil {
		return nil, store.Errorf("22P02", "parameter of type %d: %v", oid, err)
	}
	return value, nil
}

// encodeValue encodes a value from SQLite in the given format of the type oid.
func (c codec) encodeValue(v any, oid uint32, format int16) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	v = convert(v, oid)
	encoded, err := c.types.Encode(oid, format, v, nil)
	if err != nil {
		return nil, store.Errorf("22P03", "value of type %d: %v", oid, err)
	}
	return encoded, nil
}

// convert converts a value to the Go type for oid, the type that was described for its
// column, if it can.
func convert(v any, oid uint32) any {
	switch value := v.(type) {
	case int64:
		switch oid {
		case sqltext.OIDBool:
			return value != 0
		case sqltext.OIDFloat8:
			return float64(value)
		}
	case float64:
		if oid == sqltext.OIDInt8 {
			return int64(value)
		}
	case bool:
		if oid == sqltext.OIDInt8 && value {
			return int64(1)
		}
		if oid == sqltext.OIDInt8 {
			return int64(0)
		}
	case []byte:
		v = string(value)
	}
	if oid != sqltext.OIDText {
		return v
	}
	if text, ok := v.(string); ok {
		return text
	}
	return fmt.Sprint(v)
}
