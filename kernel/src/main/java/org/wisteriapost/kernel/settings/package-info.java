/**
 * INI settings and their validation, which covers the whole file before a process starts.
 */
package org.wisteriapost.kernel.settings;
