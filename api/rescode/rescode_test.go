package rescode

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// documentationPath is the page that documents the codes for callers and operators.
const documentationPath = "../../docs/RESULT-CODES.md"

// renderTable returns the table in the format of the page.
func renderTable() string {
	var b strings.Builder
	b.WriteString("| Code | Name | SQLSTATE | Request | Resend may succeed | Meaning |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, info := range All() {
		state := info.SQLState
		if state == "" {
			state = "–"
		}
		retry := "no"
		if info.Retryable {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s | %s |\n",
			uint32(info.Code), info.Name, state, info.Execution, retry, info.Meaning)
	}
	return b.String()
}

// Guards against documentation that differs from the codes in use.
func TestDocumentationMatchesCodes(t *testing.T) {
	page, err := os.ReadFile(documentationPath)
	if err != nil {
		t.Fatal(err)
	}
	start := bytes.Index(page, []byte("| Code |"))
	if start < 0 {
		t.Fatalf("%s contains no table; it should be:\n%s", documentationPath, renderTable())
	}
	if diff := cmp.Diff(renderTable(), string(page[start:])); diff != "" {
		t.Errorf("%s differs from the code table (-code +page):\n%s", documentationPath, diff)
	}
}

// Guards against a number or a metric label with two meanings.
func TestCodesAndNamesAreUnique(t *testing.T) {
	codes := map[Code]bool{}
	names := map[string]bool{}
	last := Code(0)
	for i, info := range All() {
		if codes[info.Code] || names[info.Name] {
			t.Errorf("code %d %q is defined twice", info.Code, info.Name)
		}
		if i > 0 && info.Code <= last {
			t.Errorf("code %d comes after %d", info.Code, last)
		}
		codes[info.Code] = true
		names[info.Name] = true
		last = info.Code
	}
}

// Guards against a code for callers with a SQLSTATE that drivers cannot parse.
func TestSQLStatesHaveFiveCharacters(t *testing.T) {
	for _, info := range All() {
		sentToCallers := info.Code >= 1000 && info.Code < 7000
		if sentToCallers && len(info.SQLState) != 5 {
			t.Errorf("code %d has SQLSTATE %q", info.Code, info.SQLState)
		}
	}
}
