// Package golden compares encodings with bytes that an earlier version of the code has recorded, so that data on
// disk and messages of running processes stay readable when the code changes.
//
// encoding/gob matches fields by name and skips unknown ones: a renamed field is lost without an error. A type
// that was registered under another name can't be decoded as the value of an interface. A test that encodes and
// decodes with the same code detects neither. Therefore each check of this package has a file in testdata/golden
// of the calling package. The first line of the file is the form of the type (see [Form]), and the other lines
// are the encoded bytes in hexadecimal.
//
// Use [Gob] for a struct that is encoded by itself, [Message] for one that is sent as the value of an
// interface, and [Bytes] for encodings without gob. The flag -update-golden rewrites the files of a package. Use
// it only where a format is meant to change.
package golden

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// update rewrites the golden files before the comparison.
var update = flag.Bool("update-golden", false, "record the golden files of internal/golden anew")

// goldenDir is the directory of the files, relative to that of the package under test.
const goldenDir = "testdata/golden"

// Gob checks that T has the recorded form, and that the recorded bytes of a value with all fields set (see [Fill])
// decode to that value. T is a struct that is encoded by itself, not as the value of an interface.
func Gob[T any](t testing.TB, name string) {
	t.Helper()
	var want, got T
	Fill(&want)
	recorded := compare(t, name, Form(reflect.TypeFor[T]()), encode(t, name, &want))
	checkDecode(t, name, recorded, &got, &want)
}

// Message checks a type that is sent as the value of an interface. It does the checks of Gob, and also checks that
// the type is registered under the recorded name. sample is any value of the type, which must be registered.
func Message(t testing.TB, name string, sample any) {
	t.Helper()
	typ := reflect.TypeOf(sample)
	filled := reflect.New(typ)
	Fill(filled.Interface())
	want := filled.Elem().Interface()
	recorded := compare(t, name, Form(typ), encode(t, name, &want))
	var got any
	checkDecode(t, name, recorded, &got, &want)
}

// encode returns the gob encoding of the value that a pointer points to.
func encode(t testing.TB, name string, pointer any) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(pointer); err != nil {
		t.Fatalf("%s: encode: %v", name, err)
	}
	return out.Bytes()
}

// checkDecode decodes the recorded bytes into got, and checks that the result equals the value that want points to.
func checkDecode(t testing.TB, name string, recorded []byte, got, want any) {
	t.Helper()
	if err := gob.NewDecoder(bytes.NewReader(recorded)).Decode(got); err != nil {
		t.Errorf("%s: decode the recorded bytes: %v", name, err)
		return
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: the recorded bytes decode to\n%+v\nwant\n%+v", name, reflect.ValueOf(got).Elem(),
			reflect.ValueOf(want).Elem())
	}
}

// Bytes checks that an encoding without gob equals the recorded bytes. It returns the recorded bytes, for the test
// to decode.
func Bytes(t testing.TB, name string, encoded []byte) []byte {
	t.Helper()
	recorded := compare(t, name, "bytes", encoded)
	if !bytes.Equal(recorded, encoded) {
		t.Errorf("%s: encoded\n%swant\n%s", name, hex.Dump(encoded), hex.Dump(recorded))
	}
	return recorded
}

// compare checks that the form of a type is the recorded one, and returns the recorded bytes. With -update-golden
// it first records the form and the encoded bytes.
func compare(t testing.TB, name, form string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join(goldenDir, name+".txt")
	if *update {
		record(t, path, form, encoded)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("%s: %v (recorded by -update-golden)", name, err)
	}
	recordedForm, digits, found := strings.Cut(string(data), "\n")
	if !found {
		t.Fatalf("%s: %s has no encoded bytes: got one line, want the form and then hexadecimal digits", name, path)
	}
	if recordedForm != form {
		t.Errorf("%s: the form is\n%s\nwant\n%s", name, form, recordedForm)
	}
	recorded, err := hex.DecodeString(strings.Join(strings.Fields(digits), ""))
	if err != nil {
		t.Fatalf("%s: %s: %v", name, path, err)
	}
	return recorded
}

// digitsPerLine is the number of hexadecimal digits on a line of a golden file.
const digitsPerLine = 120

// record writes a golden file.
func record(t testing.TB, path, form string, encoded []byte) {
	t.Helper()
	var text strings.Builder
	text.WriteString(form + "\n")
	for digits := hex.EncodeToString(encoded); digits != ""; {
		line := digits[:min(len(digits), digitsPerLine)]
		digits = digits[len(line):]
		text.WriteString(line + "\n")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Form returns a description of a type as gob encodes it: the names of its fields, in order, with the kinds of
// their values. Names of types are omitted, as gob ignores them.
func Form(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Pointer:
		return "*" + Form(typ.Elem())
	case reflect.Slice:
		return "[]" + Form(typ.Elem())
	case reflect.Array:
		return fmt.Sprintf("[%d]%s", typ.Len(), Form(typ.Elem()))
	case reflect.Map:
		return "map[" + Form(typ.Key()) + "]" + Form(typ.Elem())
	case reflect.Struct:
		return "{" + strings.Join(fieldForms(typ), " ") + "}"
	default:
		return typ.Kind().String()
	}
}

// fieldForms returns the names and forms of the exported fields of a struct, which are the fields that gob encodes.
func fieldForms(typ reflect.Type) []string {
	var forms []string
	for i := range typ.NumField() {
		if field := typ.Field(i); field.IsExported() {
			forms = append(forms, field.Name+":"+Form(field.Type))
		}
	}
	return forms
}

// Fill sets all exported fields and elements of the value that a pointer points to. Numbers and texts get nonzero
// values that differ from each other (up to maxScalar of them), and booleans are set to true. The values are the
// same at each call. Slices get two elements and maps one. Fields of interface type stay nil.
func Fill(pointer any) {
	f := filler{}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler counts the scalars that it sets, and derives their values from the count, so that they differ.
type filler struct{ count int }

// fill sets a value of any kind that gob encodes, except interfaces.
func (f *filler) fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				f.fill(value.Field(i))
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		f.fillElements(value)
	case reflect.Array:
		f.fillElements(value)
	case reflect.Map:
		f.fillMap(value)
	default:
		f.fillScalar(value)
	}
}

// fillElements sets the elements of a slice or an array.
func (f *filler) fillElements(value reflect.Value) {
	for i := range value.Len() {
		f.fill(value.Index(i))
	}
}

// fillMap sets a map to one with a single key.
func (f *filler) fillMap(value reflect.Value) {
	value.Set(reflect.MakeMap(value.Type()))
	key := reflect.New(value.Type().Key()).Elem()
	element := reflect.New(value.Type().Elem()).Elem()
	f.fill(key)
	f.fill(element)
	value.SetMapIndex(key, element)
}

// maxScalar is the maximum number that is set, within the range of every integer kind.
const maxScalar = 120

// fillScalar sets a scalar to the next number, or to a text with that number.
func (f *filler) fillScalar(value reflect.Value) {
	f.count++
	number := 1 + f.count%maxScalar
	switch {
	case value.CanInt():
		value.SetInt(int64(number))
	case value.CanUint():
		value.SetUint(uint64(number))
	case value.CanFloat():
		value.SetFloat(float64(number) + 0.5)
	case value.Kind() == reflect.Bool:
		value.SetBool(true)
	case value.Kind() == reflect.String:
		value.SetString(fmt.Sprintf("text-%d", f.count))
	}
}
