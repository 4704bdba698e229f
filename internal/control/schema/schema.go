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

// source is the CUE schema.
//
//go:embed configuration.cue
var source string

// maxFindings limits the number of findings on one document.
const maxFindings = 100

// maxCheckedBytes limits the size of the documents that are checked here, because CUE takes 0.35 ms and 45 KB for
// each route. Larger documents are checked only by package configuration, which reports the first error of each
// item instead of all errors.
const maxCheckedBytes = 512 << 10

// documentName is the file name of a checked document in CUE positions. It isn't shown, because the caller knows the
// file.
const documentName = "document"

// Check returns the findings on a document or, if patch is set, on a patch. Each call uses its own CUE context,
// because a context retains everything that it has compiled.
func Check(body []byte, patch bool) node.Findings {
	if len(body) > maxCheckedBytes {
		return nil
	}
	context := cuecontext.New()
	definitions := context.CompileString(source, cue.Filename("configuration.cue"))
	expression, err := cuejson.Extract(documentName, body)
	if err != nil {
		return findings(err)
	}
	definition := definitions.LookupPath(cue.ParsePath(definitionName(patch)))
	value := definition.Unify(context.BuildExpr(expression))
	return findings(value.Validate(cue.Concrete(true), cue.All()))
}

// definitionName returns the name of the schema's definition for a document or a patch.
func definitionName(patch bool) string {
	if patch {
		return "#Patch"
	}
	return "#Document"
}

// findings converts CUE errors, up to maxFindings of them.
func findings(err error) node.Findings {
	var list node.Findings
	for _, cueError := range errors.Errors(err) {
		if len(list) == maxFindings {
			list.Addf("", "and more")
			break
		}
		if found := finding(cueError); !fromNullAlternative(found.Text) {
			list = append(list, found)
		}
	}
	return list
}

// fromNullAlternative reports whether a finding says only that null would have been allowed. The error itself
// has a separate finding.
func fromNullAlternative(text string) bool {
	return strings.Contains(text, "errors in empty disjunction") || strings.HasSuffix(text, "and null)")
}

// finding converts one CUE error.
func finding(err errors.Error) node.Finding {
	format, arguments := err.Msg()
	place := documentPath(err.Path())
	if at, found := bodyPosition(err); found {
		place = strings.TrimSpace(fmt.Sprintf("%s (line %d, column %d)", place, at.Line(), at.Column()))
	}
	text := strings.TrimSuffix(fmt.Sprintf(format, arguments...), ` for file "`+documentName+`"`)
	return node.Finding{Place: place, Text: text}
}

// bodyPosition returns the first position of an error that is in the operator's document. It reports false if
// there is none.
func bodyPosition(err errors.Error) (token.Pos, bool) {
	for _, at := range errors.Positions(err) {
		if at.Filename() == documentName {
			return at, true
		}
	}
	return token.NoPos, false
}

// documentPath formats a path as package configuration does: routes[3].timeout-ms.
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
