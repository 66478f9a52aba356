// Package apply writes operators' files to the object API. It reads the files, validates
// the resulting configuration as a whole and writes it with conditional updates, so that
// concurrent operators never overwrite each other's changes silently.
package apply

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/config"
)

// ReadPath reads all objects of a file, or of a directory and its subdirectories, in the
// order in which they are to be applied. Files ending in .json hold objects; .md and .txt
// files are documents named after the file; other files are ignored. It is an error if there
// are no objects or if two have the same kind and name.
func ReadPath(path string) ([]config.Object, error) {
	var out []config.Object
	seen := map[string]string{}
	err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return eris.Wrap(err, "read objects")
		}
		if entry.IsDir() {
			return nil
		}
		objects, err := readFile(name)
		if err != nil {
			return err
		}
		for _, o := range objects {
			if other, twice := seen[o.Key()]; twice {
				return eris.Errorf("%s: %s/%s is declared in %s too", name, o.Kind, o.Name, other)
			}
			seen[o.Key()] = name
			out = append(out, o)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(out) == 0 {
		return nil, eris.Errorf("%s holds no objects", path)
	}
	slices.SortStableFunc(out, func(a, b config.Object) int {
		return slices.Index(config.Kinds, a.Kind) - slices.Index(config.Kinds, b.Kind)
	})
	return out, nil
}

func readFile(name string) ([]config.Object, error) {
	ext := filepath.Ext(name)
	if ext != ".json" && ext != ".md" && ext != ".txt" {
		return nil, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read objects")
	}
	if ext == ".json" {
		return config.ParseFile(name, data)
	}
	o := config.Object{
		Kind: config.KindDocument, Name: strings.TrimSuffix(filepath.Base(name), ext),
		Document: &config.Document{Text: string(data)},
	}
	if err := o.Validate(); err != nil {
		return nil, eris.Errorf("%s: %v", name, err)
	}
	return []config.Object{o}, nil
}
