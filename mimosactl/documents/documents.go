// Package documents reads configuration documents from files and publishes
// them to the platform by conditional updates.
package documents

import (
	"cmp"
	"os"
	"slices"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/platformapi"
)

// File is one document read from a file.
type File struct {
	Path string
	// Document has its defaults filled in.
	Document fleet.Document
}

// Key is the key of the platform object that holds the document.
func (f File) Key() string { return fleet.Key(f.Document) }

// Read reads and checks one file. Errors: *ReadError, *FileError.
func Read(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, &ReadError{Cause: err}
	}
	return Parse(path, data)
}

// Parse checks one document; path names where it came from. The error is a
// *FileError.
func Parse(path string, data []byte) (File, error) {
	doc, err := fleet.Parse(data)
	if err != nil {
		return File{}, &FileError{Path: path, Cause: err}
	}
	return File{Path: path, Document: doc}, nil
}

// ReadAll reads and checks files, each document at most once. Errors:
// *ReadError at the first file that can't be read, else *InvalidFilesError
// with every fault found. The files are given in the order to publish them in:
// profiles, the services that name them, accounts.
func ReadAll(paths []string) ([]File, error) {
	var files []File
	var faults []error
	seen := make(map[string]string)
	for _, path := range paths {
		file, err := Read(path)
		if _, unreadable := err.(*ReadError); unreadable {
			return nil, err
		}
		if err != nil {
			faults = append(faults, err)
			continue
		}
		if earlier, twice := seen[file.Key()]; twice {
			faults = append(faults, &DuplicateError{Key: file.Key(), Paths: [2]string{earlier, path}})
			continue
		}
		seen[file.Key()] = path
		files = append(files, file)
	}
	if len(faults) > 0 {
		return nil, &InvalidFilesError{Errors: faults}
	}
	sortForPublishing(files)
	return files, nil
}

// publishOrder gives each kind its place.
var publishOrder = map[string]int{
	fleet.KindProfile:  0,
	fleet.KindService:  1,
	fleet.KindAccounts: 2,
}

// sortForPublishing orders files by kind; those of one kind stay as given.
func sortForPublishing(files []File) {
	slices.SortStableFunc(files, func(a, b File) int {
		return cmp.Compare(
			publishOrder[a.Document.DocumentKind()],
			publishOrder[b.Document.DocumentKind()],
		)
	})
}

// encoded is a file ready to be written.
type encoded struct {
	File
	change string
	value  []byte
}

// encode gives a file its change id and checks its size. The error is a
// *FileError.
func encode(f File, change string) (encoded, error) {
	value, err := fleet.Encode(f.Document.WithChange(change))
	if err != nil {
		return encoded{}, &FileError{Path: f.Path, Cause: err}
	}
	if len(value) > platformapi.MaxValueBytes {
		return encoded{}, &FileError{Path: f.Path, Cause: &TooLargeError{Size: len(value)}}
	}
	return encoded{File: f, change: change, value: value}, nil
}

// ChangeIDOf gives the change id of a published value; empty when the value does
// not parse or has none.
func ChangeIDOf(value []byte) string {
	doc, err := fleet.Parse(value)
	if err != nil {
		return ""
	}
	return doc.ChangeID()
}
