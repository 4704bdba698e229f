// Package golden compares what a test encodes with bytes that an earlier version recorded, so that data on
// disk and messages of running processes stay readable when the code changes.
//
// encoding/gob matches fields by name and skips those that it doesn't know: a renamed field is lost without
// an error, and a type that was registered under another name can't be decoded as the value of an interface.
// A test that encodes and decodes with the same code detects neither. Each check here therefore keeps a file
// in testdata/golden of the calling package. It has the form of the type on its first line (see [Form]) and
// the encoded bytes, in hexadecimal, on the others.
//
// Use [Gob] for a struct that is encoded by itself, [Message] for one that is sent as the value of an
// interface, and [Bytes] for encodings without gob. The flag -update-golden records the files of a package
// anew, which is right only where a format is meant to change.
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

// update records the golden files anew instead of comparing with them.
var update = flag.Bool("update-golden", false, "record the golden files of internal/golden anew")

// goldenDir is the folder of the files, in the folder of the package under test.
const goldenDir = "testdata/golden"

// Gob checks that values of T are encoded with the recorded fields and types, and that the recorded bytes of
// a value whose fields are all set decode to that value. T is a struct that is encoded by itself, not as the
// value of an interface.
func Gob[T any](t testing.TB, name string) {
	t.Helper()
	var want, got T
	Fill(&want)
	recorded := compare(t, name, Form(reflect.TypeFor[T]()), encode(t, name, &want))
	checkDecode(t, name, recorded, &got, &want)
}

// Message checks a type that is sent as the value of an interface: as Gob does, and that it is registered
// under the recorded name. The sample only gives the type, which must be registered.
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

// encode returns what gob encodes for the value that a pointer points to.
func encode(t testing.TB, name string, pointer any) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(pointer); err != nil {
		t.Fatalf("%s: encode: %v", name, err)
	}
	return out.Bytes()
}

// checkDecode checks that the recorded bytes decode, into got, to what want points to.
func checkDecode(t testing.TB, name string, recorded []byte, got, want any) {
	t.Helper()
	if err := gob.NewDecoder(bytes.NewReader(recorded)).Decode(got); err != nil {
		t.Errorf("%s: the recorded bytes can't be decoded: %v", name, err)
		return
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: the recorded bytes decode to\n%+v\nwant\n%+v", name, reflect.ValueOf(got).Elem(),
			reflect.ValueOf(want).Elem())
	}
}

// Bytes checks that an encoding without gob is exactly the recorded bytes. It returns those, for the test to
// decode.
func Bytes(t testing.TB, name string, encoded []byte) []byte {
	t.Helper()
	recorded := compare(t, name, "bytes", encoded)
	if !bytes.Equal(recorded, encoded) {
		t.Errorf("%s: encoded\n%swant\n%s", name, hex.Dump(encoded), hex.Dump(recorded))
	}
	return recorded
}

// compare checks the form of a type, and returns the recorded bytes. With -update-golden it records both.
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
		t.Fatalf("%s: %s has one line", name, path)
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

// digitsPerLine is the number of hexadecimal digits on a line of a file.
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

// Form describes how gob sees a type: the names of fields in their order, with the kinds of their values.
// Names of types are left out, as gob passes over them.
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

// fieldForms returns the exported fields of a struct, which are those that gob encodes, with their forms.
func fieldForms(typ reflect.Type) []string {
	var forms []string
	for i := range typ.NumField() {
		if field := typ.Field(i); field.IsExported() {
			forms = append(forms, field.Name+":"+Form(field.Type))
		}
	}
	return forms
}

// Fill sets every exported field that the value points to, and every element of it, to a value of its own
// that isn't zero, the same at each call. Slices get two elements and maps one. Fields of interface type stay
// nil.
func Fill(pointer any) {
	f := filler{}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler numbers the scalars that it sets, so that they differ.
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

// fillMap sets a map to one with one key.
func (f *filler) fillMap(value reflect.Value) {
	value.Set(reflect.MakeMap(value.Type()))
	key := reflect.New(value.Type().Key()).Elem()
	element := reflect.New(value.Type().Elem()).Elem()
	f.fill(key)
	f.fill(element)
	value.SetMapIndex(key, element)
}

// maxScalar keeps numbers within the range of every integer kind.
const maxScalar = 120

// fillScalar sets a value without parts to the next number, or to a text with it.
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
