/**
 * Which chunk comes next from whom while new weights spread, decided without a
 * coordinator. A piece is one chunk of one file, numbered through all files of a fetch.
 */
package org.wisteriapost.policy.transfer;
