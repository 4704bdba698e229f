// Package schema checks the shape of the operator's configurations with CUE, so that everything that is wrong with one is told
// at once, each with its path, line and column. It must never decide alone that a configuration is valid: package configuration
// does, on every replica.
package schema

import (
	_ "embed"
	"fmt"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/token"
	cuejson "cuelang.org/go/encoding/json"

	"sprucelane.example/sprucelane/internal/node"
)

//go:embed configuration.cue
var source string

// findingsMost bounds how many findings of one document are told.
const maxFindings = 100

// bytesMost bounds the texts that are checked here: CUE takes 0.35 ms and 45 KB a route. Longer ones have only the check in
// package configuration, which names the first fault of each item in place of all.
const maxCheckedBytes = 512 << 10

// Check gives what is wrong with the shape of a document, or of a patch. A context of CUE keeps what it has seen, so each check
// has one of its own.
func Check(body []byte, patch bool) node.Findings {
	if len(body) > maxCheckedBytes {
		return nil
	}
	context := cuecontext.New()
	definitions := context.CompileString(source, cue.Filename("configuration.cue"))
	expression, err := cuejson.Extract("body", body)
	if err != nil {
		return findings(err)
	}
	shape := definitions.LookupPath(cue.ParsePath(definitionName(patch)))
	value := shape.Unify(context.BuildExpr(expression))
	return findings(value.Validate(cue.Concrete(true), cue.All()))
}

func definitionName(patch bool) string {
	if patch {
		return "#Patch"
	}
	return "#Document"
}

func findings(err error) node.Findings {
	var list node.Findings
	for _, one := range errors.Errors(err) {
		if len(list) == maxFindings {
			list.Addf("", "and more")
			break
		}
		if found := finding(one); !fromNullAlternative(found.Text) {
			list = append(list, found)
		}
	}
	return list
}

// aboutAlternative tells what is said only because null would have been allowed too; the fault itself stands beside it.
func fromNullAlternative(text string) bool {
	return strings.Contains(text, "errors in empty disjunction") || strings.HasSuffix(text, "and null)")
}

func finding(err errors.Error) node.Finding {
	format, arguments := err.Msg()
	place := documentPath(err.Path())
	if at, found := bodyPosition(err); found {
		place = strings.TrimSpace(fmt.Sprintf("%s (line %d, column %d)", place, at.Line(), at.Column()))
	}
	return node.Finding{Place: place, Text: fmt.Sprintf(format, arguments...)}
}

// bodyPosition finds the position in the operator's text among those of an error.
func bodyPosition(err errors.Error) (token.Pos, bool) {
	for _, at := range errors.Positions(err) {
		if at.Filename() == "body" {
			return at, true
		}
	}
	return token.NoPos, false
}

// documentPath writes a path as the other findings do: routes[3].timeout-ms.
func documentPath(path []string) string {
	var out strings.Builder
	for _, part := range path {
		if strings.HasPrefix(part, "#") {
			continue
		}
		if _, err := strconv.Atoi(part); err == nil {
			out.WriteString("[" + part + "]")
			continue
		}
		if out.Len() > 0 {
			out.WriteByte('.')
		}
		out.WriteString(strings.Trim(part, `"`))
	}
	return out.String()
}
