package scale

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/parquet-go/parquet-go"
)

// rowsPath is the file of one finished run. It is there only when the run has ended well, so that an interrupted series
// goes on with the sizes that are missing.
func rowsPath(dir, scenario, build string, value int) string {
	return filepath.Join(dir, fmt.Sprintf("%s-%s-%d.parquet", scenario, build, value))
}

// Finished tells whether a run's rows are there, and reads them.
func Finished(dir, scenario, build string, value int) (rows []Row, ok bool, err error) {
	rows, err = parquet.ReadFile[Row](rowsPath(dir, scenario, build, value))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	return rows, err == nil, err
}

// Save keeps a finished run's rows.
func Save(dir string, rows []Row) error {
	if len(rows) == 0 {
		return nil
	}
	return WriteRows(rowsPath(dir, rows[0].Scenario, rows[0].Build, rows[0].Value), rows)
}

// WriteRows writes rows to a file, which is there whole or not at all.
func WriteRows(path string, rows []Row) error {
	part := path + ".part"
	if err := parquet.WriteFile(part, rows); err != nil {
		return err
	}
	return os.Rename(part, path)
}

// ReadAll reads the rows of all files, in their order.
func ReadAll(paths []string) (rows []Row, err error) {
	for _, p := range paths {
		some, err := parquet.ReadFile[Row](p)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p, err)
		}
		rows = append(rows, some...)
	}
	return rows, nil
}

// Series runs a scenario at all its sizes, but for those whose rows are in dir already, and returns all rows. each is
// told before a size begins.
func Series(o func(value int) Options, dir string, s *Scenario, run func(Options, int) ([]Row, error), each func(value int, done bool)) (all []Row, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	for _, value := range s.All() {
		options := o(value)
		rows, done, err := Finished(dir, s.Name, options.Build, value)
		if err != nil {
			return all, err
		}
		each(value, done)
		if !done {
			if rows, err = run(options, value); err != nil {
				return all, fmt.Errorf("%s, %s = %d: %w; logs: %s", s.Name, s.Vary, value, err, options.Dir)
			}
			if err := Save(dir, rows); err != nil {
				return all, err
			}
		}
		all = append(all, rows...)
	}
	return all, nil
}

// Builds are the builds that rows are of.
func Builds(rows []Row) (names []string) {
	for _, r := range rows {
		if !slices.Contains(names, r.Build) {
			names = append(names, r.Build)
		}
	}
	return names
}
