// Package documents reads configuration documents from files and publishes them
// to the platform with conditional updates.
package documents

import (
	"cmp"
	"os"
	"slices"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/platformapi"
)

// File is a document and the file it was read from.
type File struct {
	Path string
	// Document has its defaults filled in.
	Document fleet.Document
}

// Key returns the key of the platform object that holds the document.
func (f File) Key() string { return fleet.Key(f.Document) }

// Read reads and validates one file. Errors: *ReadError, *FileError.
func Read(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, &ReadError{Cause: err}
	}
	return Parse(path, data)
}

// Parse parses and validates one document. path identifies its source in errors.
// The error is a *FileError.
func Parse(path string, data []byte) (File, error) {
	doc, err := fleet.Parse(data)
	if err != nil {
		return File{}, &FileError{Path: path, Cause: err}
	}
	return File{Path: path, Document: doc}, nil
}

// ReadAll reads and validates files. No two files may hold the same document. It
// returns them in the order to publish: profiles, the services that refer to them,
// accounts. Errors: *ReadError at the first file that cannot be read, otherwise
// *InvalidFilesError with all errors found.
func ReadAll(paths []string) ([]File, error) {
	var files []File
	var errs []error
	seen := make(map[string]string)
	for _, path := range paths {
		file, err := Read(path)
		if _, unreadable := err.(*ReadError); unreadable {
			return nil, err
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if earlier, twice := seen[file.Key()]; twice {
			errs = append(errs, &DuplicateError{Key: file.Key(), Paths: [2]string{earlier, path}})
			continue
		}
		seen[file.Key()] = path
		files = append(files, file)
	}
	if len(errs) > 0 {
		return nil, &InvalidFilesError{Errors: errs}
	}
	sortByPublishOrder(files)
	return files, nil
}

// publishOrder maps a document kind to its position in the publish order.
var publishOrder = map[string]int{
	fleet.KindProfile:  0,
	fleet.KindService:  1,
	fleet.KindAccounts: 2,
}

// sortByPublishOrder sorts files by kind and keeps the order within a kind.
func sortByPublishOrder(files []File) {
	slices.SortStableFunc(files, func(a, b File) int {
		return cmp.Compare(
			publishOrder[a.Document.DocumentKind()],
			publishOrder[b.Document.DocumentKind()],
		)
	})
}

// encodedFile is a file with its encoded value, ready to be written.
type encodedFile struct {
	File
	change string
	value  []byte
}

// encodeFile encodes a file's document with a change ID and checks its size. The
// error is a *FileError.
func encodeFile(f File, change string) (encodedFile, error) {
	value, err := fleet.Encode(f.Document.WithChange(change))
	if err != nil {
		return encodedFile{}, &FileError{Path: f.Path, Cause: err}
	}
	if len(value) > platformapi.MaxValueBytes {
		return encodedFile{}, &FileError{Path: f.Path, Cause: &TooLargeError{Size: len(value)}}
	}
	return encodedFile{File: f, change: change, value: value}, nil
}

// ChangeIDOf returns the change ID of a published value; empty if the value does
// not parse or has no change ID.
func ChangeIDOf(value []byte) string {
	doc, err := fleet.Parse(value)
	if err != nil {
		return ""
	}
	return doc.ChangeID()
}
