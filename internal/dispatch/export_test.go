package dispatch

// NextPace gives tests outside the package access to nextPace.
var NextPace = nextPace
