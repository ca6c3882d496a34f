// Package sourceedit applies small edits to Go sources, each of which replaces one text in one function. Tools use it to build and run modified
// copies of the sources.
package sourceedit

import (
	"bytes"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
)

var errNoFunction = errors.New("no such function")

// Edit replaces a text that occurs exactly once in a function.
type Edit struct {
	// File is the path relative to the module's root directory.
	File string `toml:"file"`
	// Function limits the edit to one function or method. If it is empty, the text may be anywhere in the file.
	Function string `toml:"function"`
	Old      string `toml:"old"`
	New      string `toml:"new"`
}

// Apply returns the content of the edited file and leaves the file itself as it is. It fails unless the old text occurs exactly once in the
// function and the result parses.
func (e Edit) Apply(root string) ([]byte, error) {
	source, err := os.ReadFile(filepath.Join(root, e.File))
	if err != nil {
		return nil, err
	}
	from, to, err := functionRange(source, e.Function)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.File, err)
	}
	body := source[from:to]
	if count := bytes.Count(body, []byte(e.Old)); count != 1 {
		return nil, fmt.Errorf("%s: the old text stands %d times in %q, want once", e.File, count, e.Function)
	}
	changed := bytes.Replace(body, []byte(e.Old), []byte(e.New), 1)
	edited := bytes.Join([][]byte{source[:from], changed, source[to:]}, nil)
	if _, err := parser.ParseFile(token.NewFileSet(), e.File, edited, 0); err != nil {
		return nil, fmt.Errorf("the changed file can't be read: %w", err)
	}
	return edited, nil
}

// functionRange returns the byte offsets of a function or method in a file: of its first byte and after its last one. `Type.Method`
// selects one of several methods of the same name. For an empty name it returns the range of the whole file.
func functionRange(source []byte, name string) (from, to int, err error) {
	if name == "" {
		return 0, len(source), nil
	}
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, "", source, 0)
	if err != nil {
		return 0, 0, err
	}
	receiver, method, qualified := strings.Cut(name, ".")
	if !qualified {
		receiver, method = "", name
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if ok && function.Name.Name == method && (receiver == "" || receiver == receiverTypeName(function)) {
			return set.Position(function.Pos()).Offset, set.Position(function.End()).Offset, nil
		}
	}
	return 0, 0, fmt.Errorf("%w: %s", errNoFunction, name)
}

// receiverTypeName returns the name of a method's receiver type, or an empty string for a function.
func receiverTypeName(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	expression := function.Recv.List[0].Type
	for {
		switch e := expression.(type) {
		case *ast.StarExpr:
			expression = e.X
		case *ast.IndexExpr:
			expression = e.X
		case *ast.IndexListExpr:
			expression = e.X
		case *ast.Ident:
			return e.Name
		default:
			return ""
		}
	}
}
