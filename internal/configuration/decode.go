package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// decodeItem decodes an item of a typed list to a Route, Backend or Tenant.
func decodeItem(list string, raw []byte) (any, error) {
	switch list {
	case memberRoutes:
		var route Route
		err := decode(raw, &route)
		return route, err
	case memberBackends:
		var backend Backend
		err := decode(raw, &backend)
		return backend, err
	default:
		var tenant Tenant
		err := decode(raw, &tenant)
		return tenant, err
	}
}

// decode decodes a value. Integers with a zero fraction or an exponent (190.0, 3.2e6) are accepted, because JSON has
// only one kind of number, although encoding/json rejects them for integer fields: such a value is decoded without
// types and marshaled again first, which writes these numbers as integers.
func decode(raw []byte, into any) error {
	err := json.Unmarshal(raw, into)
	if err == nil {
		return nil
	}
	var untyped any
	if json.Unmarshal(raw, &untyped) != nil {
		return err
	}
	normalized, marshalError := json.Marshal(untyped)
	if marshalError != nil || json.Unmarshal(normalized, into) != nil {
		return err
	}
	return nil
}

// parseWholeNumber parses an integer of 1 or more, in any of JSON's notations. Notations other than plain digits are
// accepted below 2^53, where a float64 is exact.
func parseWholeNumber(raw []byte) (uint64, bool) {
	if number, err := strconv.ParseUint(string(raw), 10, 64); err == nil {
		return number, number > 0
	}
	number, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || number != math.Trunc(number) || !(number >= 1 && number < 1<<53) {
		return 0, false
	}
	return uint64(number), true
}

// describeDecodeError returns the text of a decoding error in the operator's terms rather than in Go's.
func describeDecodeError(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return fmt.Sprintf("%s: is a %s, but must be a %s",
			wrongType.Field, wrongType.Value, typeDescription(wrongType.Type.Kind().String()))
	}
	return err.Error()
}

// typeDescription returns the operator's term for a kind of Go type.
func typeDescription(kind string) string {
	switch kind {
	case "int", "int64", "uint64":
		return "whole number"
	case "float64":
		return "number"
	case "bool":
		return "true or false"
	case "slice":
		return "list"
	case "struct":
		return "object"
	}
	return kind
}
