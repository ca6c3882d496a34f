// Package sourceedit makes small changes to Go sources, each of one text in one function, for tools that build and play changed copies.
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

// Edit is one change: a text that stands once in a function, and what comes in its place.
type Edit struct {
	// File is the file's path below the module's folder.
	File string `toml:"file"`
	// Function limits the change to one function or method; empty: anywhere in the file.
	Function string `toml:"function"`
	Old      string `toml:"old"`
	New      string `toml:"new"`
}

// Apply is the edit's file with the change made. The old text must stand once in the function, and the file must still parse.
func (e Edit) Apply(root string) ([]byte, error) {
	source, err := os.ReadFile(filepath.Join(root, e.File))
	if err != nil {
		return nil, err
	}
	from, to, err := extent(source, e.Function)
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

// extent is where a function or method stands in a file: from its first byte to after its last. `Type.Method` names a method
// where the name alone stands for several. Without a name it is the whole file.
func extent(source []byte, name string) (from, to int, err error) {
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
		if ok && function.Name.Name == method && (receiver == "" || receiver == receiverOf(function)) {
			return set.Position(function.Pos()).Offset, set.Position(function.End()).Offset, nil
		}
	}
	return 0, 0, fmt.Errorf("%w: %s", errNoFunction, name)
}

// receiverOf is the name of a method's type, empty for a function.
func receiverOf(function *ast.FuncDecl) string {
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
