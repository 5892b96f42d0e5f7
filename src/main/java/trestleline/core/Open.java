package trestleline.core;

import trestleline.Front;

/** A playing session as one gateway process hands it to the next: enough to go on from where it stood. */
public record Open(Front.Ask ask, String host, String attempt, int rung) { }
