package control_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Lines and functions stay short in every file that is not a test, since new engineers read the package from top to
// bottom.
func TestModuleSize(t *testing.T) {
	const maxLineLength, maxBodyLines = 110, 60
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	checked, functions := 0, 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		checked++
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if n := len([]rune(line)); n > maxLineLength {
				t.Errorf("%s:%d: line of %d characters, want at most %d", file, i+1, n, maxLineLength)
			}
		}
		fset := token.NewFileSet()
		parsed, err := parser.ParseFile(fset, file, text, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			var name string
			var body *ast.BlockStmt
			switch f := n.(type) {
			case *ast.FuncDecl:
				name, body = f.Name.Name, f.Body
			case *ast.FuncLit:
				name, body = "function literal", f.Body
			}
			if body == nil {
				return true
			}
			functions++
			if n := fset.Position(body.Rbrace).Line - fset.Position(body.Lbrace).Line - 1; n > maxBodyLines {
				t.Errorf("%s: %s: body of %d lines, want at most %d", fset.Position(body.Pos()), name, n, maxBodyLines)
			}
			return true
		})
	}
	if checked < 5 || functions < 100 {
		t.Errorf("%d files with %d functions checked, want at least 5 files with 100", checked, functions)
	}
}
