// Package crowd tests a mimosad process against many callers outside the limits: the process
// lives, its memory stays below a bound, and an ordinary caller is served beside the crowd and
// after it.
package crowd
