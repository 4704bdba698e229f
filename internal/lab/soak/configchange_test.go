package soak

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
)

func TestConfigurationChanges(t *testing.T) {
	Convey("A change leads to the document of its revision, by PUT and by PATCH, whatever variant was in force", t, func() {
		for generation := uint64(1); generation < 100; generation++ {
			for variant := range 4 {
				base := revision{generation: generation, variant: variant / 2}
				put, patched := newConfigurationChange(base, variant%2, false), newConfigurationChange(base, variant%2, true)
				So(put.method, ShouldEqual, http.MethodPut)
				So(patched.method, ShouldEqual, http.MethodPatch)
				whole, err := configuration.ParseDocument(put.body, 1)
				So(err, ShouldBeNil)
				from, err := configuration.ParseDocument(newConfigurationChange(revision{generation: generation - 1}, variant/2, false).body, 1)
				So(err, ShouldBeNil)
				parsed, err := configuration.ParsePatch(patched.body)
				So(err, ShouldBeNil)
				applied, err := from.Apply(parsed, 2)
				So(err, ShouldBeNil)
				for _, version := range []*configuration.Version{whole, applied} {
					read, err := checkDocument(version.Document())
					So(err, ShouldBeNil)
					So(read, ShouldResemble, put.revision)
				}
			}
		}
	})
	Convey("A document that isn't that of its revision is a problem", t, func() {
		document := revision{generation: 7}.document()
		document.Routes = document.Routes[1:]
		_, err := checkDocument(document)
		So(err, ShouldNotBeNil)
		document = revision{generation: 7}.document()
		document.Generation++
		_, err = checkDocument(document)
		So(err, ShouldNotBeNil)
	})
}
